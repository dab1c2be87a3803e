package config

import (
	"flag"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/faults"
)

// EnvPrefix is the prefix of crocusway's environment variables.
const EnvPrefix = "CROCUSWAY"

// EnvName returns the environment variable of a flag.
func EnvName(flagName string) string {
	return EnvPrefix + "_" + strings.ToUpper(strings.ReplaceAll(flagName, "-", "_"))
}

// ServeFlags binds the settings of a daemon to a flag set.
type ServeFlags struct {
	settings Serve
	roles    string
	domain   string
	voters   string
	secrets  map[string]*string
}

// NewServeFlags registers the flags of a daemon with their defaults.
func NewServeFlags(fs *flag.FlagSet) *ServeFlags {
	f := &ServeFlags{settings: DefaultServe(), secrets: make(map[string]*string)}
	f.registerIdentity(fs)
	f.registerControl(fs)
	f.registerEntry(fs)
	return f
}

func (f *ServeFlags) registerIdentity(fs *flag.FlagSet) {
	s := &f.settings
	fs.StringVar(&s.Name, "name", "", "name of this daemon, unique in the system")
	fs.StringVar(&f.roles, "roles", "entry", "comma-separated roles: control, entry")
	fs.StringVar(&f.domain, "domain", "", "failure domain of this host")
	fs.StringVar(&s.PeerListen, "peer-listen", s.PeerListen, "ip:port for links between daemons")
	fs.StringVar(&s.CallerListen, "caller-listen", s.CallerListen, "ip:port for callers, backend servers and operators")
	fs.StringVar(&s.PeerAddress, "peer-address", "", "ip:port under which other daemons reach this one; empty: peer-listen")
	fs.StringVar(&s.PeerSource, "peer-source", "", "source IP of links to other daemons; empty: the kernel's choice")
	fs.StringVar(&s.CallerAddress, "caller-address", "", "ip:port advertised to callers; empty: caller-listen")
	fs.StringVar(&f.voters, "voters", "", "comma-separated id=ip:port of the control daemons' peer addresses")
	fs.StringVar(&s.LogLevel, "log-level", s.LogLevel, "debug, info, warn or error")
	f.secret(fs, "peer-secret", "shared secret of the daemons")
	f.secret(fs, "operator-token", "bearer token of operators")
	f.secret(fs, "backend-token", "bearer token of backend servers")
}

// secret registers a flag for a file with a secret. The value itself can only be set
// in the environment, since flags are visible to every user of the host.
func (f *ServeFlags) secret(fs *flag.FlagSet, name, usage string) {
	f.secrets[name] = fs.String(name+"-file", "", "file with the "+usage+"; or "+EnvName(name)+" with the value")
}

func (f *ServeFlags) registerControl(fs *flag.FlagSet) {
	s := &f.settings
	fs.StringVar(&s.DataDir, "data-dir", "", "data folder of the role control")
	fs.IntVar(&s.SnapshotBytes, "snapshot-bytes", s.SnapshotBytes, "size of the applied log after which a snapshot replaces it, bytes; a quarter of it is kept for voters that lag")
	fs.BoolVar(&s.Bootstrap, "bootstrap", false, "first start of a new system: create the voter in an empty data folder")
	fs.StringVar(&s.Preset, "preset", s.Preset, "weights of the three measures: nilecraft, tabrak")
	fs.BoolVar(&s.Rebalance, "rebalance", false, "move replicas, one at a time, to failure domains that hold fewer of their serving group")
	fs.DurationVar(&s.WorkLease, "work-lease", s.WorkLease, "time for which an entry may take work after a renewal")
	fs.DurationVar(&s.DetectionBound, "detection-bound", s.DetectionBound, "silence after which a backend server counts as lost")
	fs.DurationVar(&s.OrderHorizon, "order-horizon", s.OrderHorizon, "time after which no order of an older leader can arrive")
	fs.DurationVar(&s.PauseGrace, "pause-grace", s.PauseGrace, "time to wait for a silent member before its group is repaired")
	fs.Int64Var(&s.LoadRate, "load-rate", s.LoadRate, "budget of the weight store, bytes/s")
	fs.IntVar(&s.ConcurrentLoads, "concurrent-loads", s.ConcurrentLoads, "largest number of model loads at one time")
	fs.DurationVar(&s.RecordRetention, "record-retention", s.RecordRetention, "time for which an idempotency record is kept")
	fs.IntVar(&s.MaxRecords, "max-records", s.MaxRecords, "largest number of idempotency records")
}

func (f *ServeFlags) registerEntry(fs *flag.FlagSet) {
	s := &f.settings
	fs.DurationVar(&s.RenewInterval, "renew-interval", s.RenewInterval, "time between two renewals of the work lease")
	fs.Int64Var(&s.MemoryLimit, "memory-limit", s.MemoryLimit, "memory that the process may use, bytes; 0: that of the machine")
	fs.IntVar(&s.MaxBody, "max-body", s.MaxBody, "largest request body, bytes")
	fs.IntVar(&s.MaxHeader, "max-header", s.MaxHeader, "largest request header, bytes")
	fs.IntVar(&s.MaxConnections, "max-connections", s.MaxConnections, "largest number of caller connections")
	fs.DurationVar(&s.RequestTimeout, "request-timeout", s.RequestTimeout, "longest time of one request")
	fs.IntVar(&s.QueueLimit, "queue-limit", s.QueueLimit, "largest number of waiting requests in a shard")
	fs.DurationVar(&s.ShutdownTimeout, "shutdown-timeout", s.ShutdownTimeout, "longest time that a graceful shutdown waits for requests")
}

// Settings validates and returns the settings. Call it after the flags are parsed.
func (f *ServeFlags) Settings() (*Serve, error) {
	s := f.settings
	s.Roles = splitRoles(f.roles)
	s.Domain = api.FailureDomain(f.domain)
	voters, err := ParseVoters(f.voters)
	if err != nil {
		return nil, err
	}
	s.Voters = voters
	targets := map[string]*Secret{
		"peer-secret":    &s.PeerSecret,
		"operator-token": &s.OperatorToken,
		"backend-token":  &s.BackendToken,
	}
	for name, target := range targets {
		value, err := ReadSecret(name, *f.secrets[name])
		if err != nil {
			return nil, err
		}
		*target = value
	}
	if err := Validate(&s); err != nil {
		return nil, err
	}
	return &s, nil
}

func splitRoles(list string) []Role {
	var roles []Role
	for _, name := range strings.Split(list, ",") {
		if name = strings.TrimSpace(name); name != "" {
			roles = append(roles, Role(name))
		}
	}
	return roles
}

// ParseVoters parses a list of voters, "id=ip:port,id=ip:port".
func ParseVoters(list string) ([]Voter, error) {
	var voters []Voter
	for _, item := range strings.Split(list, ",") {
		if item = strings.TrimSpace(item); item == "" {
			continue
		}
		id, address, found := strings.Cut(item, "=")
		if !found {
			var list faults.List
			list.Add("voters", item, "id=ip:port")
			return nil, &Error{Faults: list}
		}
		voters = append(voters, Voter{ID: api.VoterID(id), Address: address})
	}
	return voters, nil
}

// ReadSecret returns the secret from the file, or from the environment if no
// file is given.
func ReadSecret(name, file string) (Secret, error) {
	if file == "" {
		return Secret(os.Getenv(EnvName(name))), nil
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return "", errors.Wrapf(err, "read %s", name)
	}
	return Secret(strings.TrimSpace(string(raw))), nil
}
