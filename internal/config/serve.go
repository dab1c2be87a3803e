// Package config defines the settings of the daemon with their defaults, units and
// bounds. Validation reports all faults at once.
package config

import (
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// Role is a function that a daemon performs.
type Role string

// Roles of a daemon.
const (
	RoleControl Role = "control"
	RoleEntry   Role = "entry"
)

// Voter names one control daemon and its peer address "ip:port".
type Voter struct {
	ID      api.VoterID `validate:"required,max=64"`
	Address string      `validate:"required,hostname_port"`
}

// Serve holds the settings of one daemon. Durations are positive.
type Serve struct {
	Name          string            `flag:"name" validate:"required,max=64"`
	Roles         []Role            `flag:"roles" validate:"min=1,max=2,unique,dive,oneof=control entry"`
	Domain        api.FailureDomain `flag:"domain" validate:"required,max=64"`
	PeerListen    string            `flag:"peer-listen" validate:"required,listen_address"`
	CallerListen  string            `flag:"caller-listen" validate:"required,listen_address"`
	PeerAddress   string            `flag:"peer-address" validate:"omitempty,hostname_port"`
	PeerSource    string            `flag:"peer-source" validate:"omitempty,ip"`
	CallerAddress string            `flag:"caller-address" validate:"omitempty,hostname_port"`
	Voters        []Voter           `flag:"voters" validate:"min=1,max=9,dive"`
	DataDir       string            `flag:"data-dir"`
	SnapshotBytes int               `flag:"snapshot-bytes" validate:"min=65536,max=1073741824"`
	Bootstrap     bool              `flag:"bootstrap"`

	// Secrets are never shown in a dump or a log.
	PeerSecret    Secret `flag:"peer-secret" validate:"min=16,max=1024"`
	OperatorToken Secret `flag:"operator-token" validate:"min=16,max=1024"`
	BackendToken  Secret `flag:"backend-token" validate:"min=16,max=1024"`

	Preset         string        `flag:"preset" validate:"oneof=nilecraft tabrak"`
	Rebalance      bool          `flag:"rebalance"`
	WorkLease      time.Duration `flag:"work-lease" validate:"min=500ms,max=60s"`
	RenewInterval  time.Duration `flag:"renew-interval" validate:"min=50ms,max=20s"`
	DetectionBound time.Duration `flag:"detection-bound" validate:"min=200ms,max=60s"`
	OrderHorizon   time.Duration `flag:"order-horizon" validate:"min=500ms,max=10m"`
	PauseGrace     time.Duration `flag:"pause-grace" validate:"min=0s,max=10m"`
	// LoadRate is the budget of the weight store, in bytes per second.
	LoadRate        int64 `flag:"load-rate" validate:"min=1048576"`
	ConcurrentLoads int   `flag:"concurrent-loads" validate:"min=1,max=10000"`

	// MemoryLimit is the memory that the process may use, in bytes; 0: that of the machine.
	MemoryLimit     int64         `flag:"memory-limit" validate:"omitempty,min=67108864,max=1099511627776"`
	MaxBody         int           `flag:"max-body" validate:"min=1024,max=268435456"`
	MaxHeader       int           `flag:"max-header" validate:"min=1024,max=1048576"`
	MaxConnections  int           `flag:"max-connections" validate:"min=1,max=200000"`
	RequestTimeout  time.Duration `flag:"request-timeout" validate:"min=1s,max=1h"`
	QueueLimit      int           `flag:"queue-limit" validate:"min=1,max=1000000"`
	RecordRetention time.Duration `flag:"record-retention" validate:"min=1m,max=720h"`
	MaxRecords      int           `flag:"max-records" validate:"min=1,max=10000000"`
	ShutdownTimeout time.Duration `flag:"shutdown-timeout" validate:"min=1s,max=1h"`
	LogLevel        string        `flag:"log-level" validate:"oneof=debug info warn error"`
}

// DefaultServe returns the defaults. The required settings are left empty.
func DefaultServe() Serve {
	return Serve{
		Roles:           []Role{RoleEntry},
		PeerListen:      "127.0.0.1:7100",
		CallerListen:    "127.0.0.1:7200",
		SnapshotBytes:   16 << 20,
		Preset:          "nilecraft",
		WorkLease:       3 * time.Second,
		RenewInterval:   time.Second,
		DetectionBound:  2 * time.Second,
		OrderHorizon:    10 * time.Second,
		PauseGrace:      8 * time.Second,
		LoadRate:        8 << 30,
		ConcurrentLoads: 16,
		MaxBody:         4 << 20,
		MaxHeader:       16 << 10,
		MaxConnections:  10000,
		RequestTimeout:  2 * time.Minute,
		QueueLimit:      1024,
		RecordRetention: 24 * time.Hour,
		MaxRecords:      200000,
		ShutdownTimeout: 2 * time.Minute,
		LogLevel:        "info",
	}
}

// Has reports whether the daemon has a role.
func (s *Serve) Has(role Role) bool {
	for _, r := range s.Roles {
		if r == role {
			return true
		}
	}
	return false
}

// VoterAddresses returns the peer addresses of the voters.
func (s *Serve) VoterAddresses() []string {
	out := make([]string, 0, len(s.Voters))
	for _, v := range s.Voters {
		out = append(out, v.Address)
	}
	return out
}

// Secret is a value that is masked when formatted.
type Secret string

// String implements fmt.Stringer.
func (Secret) String() string { return "***" }

// MarshalText implements encoding.TextMarshaler.
func (Secret) MarshalText() ([]byte, error) { return []byte("***"), nil }

// Reveal returns the secret itself.
func (s Secret) Reveal() string { return string(s) }
