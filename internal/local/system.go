// Package local runs a complete system on loopback: daemons in every role, in this
// process or as separate ones, and a fleet of simulated backend servers. The demo,
// the experiments and the tests use it.
package local

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/config"
	"github.com/crocusway/crocusway/internal/ctl"
	"github.com/crocusway/crocusway/internal/daemon"
	"github.com/crocusway/crocusway/internal/errs"
	"github.com/crocusway/crocusway/internal/logging"
	"github.com/crocusway/crocusway/internal/peer"
	"github.com/crocusway/crocusway/internal/standin"
	"github.com/crocusway/crocusway/internal/standin/network"
)

const (
	// anyPort lets the kernel choose a port on loopback.
	anyPort = "127.0.0.1:0"
	// pollInterval is the wait between two polls of the system's state.
	pollInterval = 20 * time.Millisecond
	// secretBytes is the length of generated secrets before encoding.
	secretBytes = 24
)

// Config configures a System.
type Config struct {
	// Daemons is the number of entry daemons; the first Voters of them also run
	// the control role.
	Daemons int
	Voters  int
	// Domains are the failure domains, assigned to the daemons round-robin.
	Domains []api.FailureDomain
	// Fleet configures the backend servers; its entries, token, domains and logger
	// are overwritten.
	Fleet standin.Config
	// Attach, if not nil, is a running system to use instead of starting daemons.
	Attach *Attachment
	// Adjust, if not nil, modifies the settings of each daemon.
	Adjust func(*config.Serve)
	// Network, if not nil, is the simulated network between the daemons. The caller
	// must close it.
	Network *network.Network
	Logger  log.Logger
}

// System is a running system.
type System struct {
	Fleet *standin.Fleet
	// Client is the operator's client for all daemons.
	Client *ctl.Client

	cfg      Config
	dir      string
	operator config.Secret
	peer     config.Secret
	backend  config.Secret
	members  []*member
	// addresses are the daemons' addresses in the network, by daemon name.
	addresses map[string]network.Member
}

// member is one daemon of the system.
type member struct {
	daemon *daemon.Daemon
	cancel context.CancelCauseFunc
	done   chan struct{}
	err    error
}

// Start starts the daemons and the fleet. The caller must Close the system.
func Start(cfg Config) (*System, error) {
	if cfg.Logger == nil {
		cfg.Logger = logging.Discard()
	}
	dir, err := os.MkdirTemp("", "crocusway-")
	if err != nil {
		return nil, errors.Wrap(err, "create data folder")
	}
	s := &System{cfg: cfg, dir: dir, addresses: make(map[string]network.Member)}
	if err := s.start(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *System) start() error {
	if s.cfg.Attach != nil {
		return s.attach(s.cfg.Attach)
	}
	s.operator, s.peer, s.backend = newSecret(), newSecret(), newSecret()
	for i := range s.cfg.Daemons {
		if err := s.joinNetwork(i); err != nil {
			return err
		}
		settings := s.settings(i)
		d, err := daemon.Listen(settings, s.cfg.Logger)
		if err != nil {
			return err
		}
		s.connectNetwork(d)
		s.members = append(s.members, &member{daemon: d, done: make(chan struct{})})
	}
	voters := s.voters()
	for _, m := range s.members {
		m.daemon.SetVoters(voters)
		m.run()
	}
	s.Client = ctl.NewClient(s.Entries(), s.operator, "local")
	return s.startFleet()
}

// joinNetwork adds a daemon to the network, if there is one, and stores its
// addresses.
func (s *System) joinNetwork(i int) error {
	if s.cfg.Network == nil {
		return nil
	}
	member, err := s.cfg.Network.Join(daemonName(i))
	s.addresses[daemonName(i)] = member
	return err
}

// connectNetwork sets a daemon's listen address in the network, if there is one.
func (s *System) connectNetwork(d *daemon.Daemon) {
	if s.cfg.Network != nil {
		s.cfg.Network.Connect(d.Name(), d.PeerListener())
	}
}

func daemonName(i int) string { return fmt.Sprintf("entry%d", i+1) }

func (s *System) settings(i int) config.Serve {
	settings := config.DefaultServe()
	settings.Name = daemonName(i)
	settings.PeerSource = s.addresses[settings.Name].Source
	settings.PeerAddress = s.addresses[settings.Name].Address
	settings.Domain = s.cfg.Domains[i%len(s.cfg.Domains)]
	settings.PeerListen = anyPort
	settings.CallerListen = anyPort
	settings.OperatorToken = s.operator
	settings.PeerSecret = s.peer
	settings.BackendToken = s.backend
	settings.Roles = []config.Role{config.RoleEntry}
	if i < s.cfg.Voters {
		settings.Roles = []config.Role{config.RoleControl, config.RoleEntry}
		settings.DataDir = filepath.Join(s.dir, settings.Name)
		settings.Bootstrap = true
	}
	if s.cfg.Adjust != nil {
		s.cfg.Adjust(&settings)
	}
	return settings
}

func (s *System) voters() []config.Voter {
	voters := make([]config.Voter, 0, s.cfg.Voters)
	for _, m := range s.members[:s.cfg.Voters] {
		voters = append(voters, config.Voter{ID: api.VoterID(m.daemon.Name()), Address: m.daemon.PeerAddress()})
	}
	return voters
}

func (s *System) startFleet() error {
	fleet := s.cfg.Fleet
	fleet.Entries = s.Entries()
	fleet.Token = s.backend.Reveal()
	fleet.Domains = s.cfg.Domains
	fleet.Logger = s.cfg.Logger
	started, err := standin.Start(fleet)
	s.Fleet = started
	return err
}

func (m *member) run() {
	ctx, cancel := context.WithCancelCause(context.Background())
	m.cancel = cancel
	go func() {
		defer close(m.done)
		m.err = m.daemon.Run(ctx)
	}()
}

// Index returns the index of the daemon with the given name, or -1.
func (s *System) Index(name string) int {
	for i, m := range s.members {
		if m.daemon.Name() == name {
			return i
		}
	}
	return -1
}

// Entries returns the caller addresses of all daemons.
func (s *System) Entries() []string {
	if s.cfg.Attach != nil {
		return s.cfg.Attach.Entries
	}
	out := make([]string, 0, len(s.members))
	for _, m := range s.members {
		out = append(out, m.daemon.CallerAddress())
	}
	return out
}

// OperatorToken returns the token that the daemons accept from operators.
func (s *System) OperatorToken() config.Secret { return s.operator }

// Stop shuts a daemon down gracefully and returns the error from running it.
func (s *System) Stop(i int) error {
	m := s.members[i]
	m.cancel(nil)
	<-m.done
	return m.err
}

// Abort stops a daemon immediately, like a crash. Its data folder is kept.
func (s *System) Abort(i int) {
	m := s.members[i]
	m.cancel(daemon.ErrAbort)
	<-m.done
}

// Restart starts a stopped or aborted daemon again at the same addresses.
func (s *System) Restart(i int) error {
	old := s.members[i].daemon
	settings := s.settings(i)
	settings.Bootstrap = false
	settings.PeerListen = old.PeerListener()
	settings.CallerListen = old.CallerAddress()
	d, err := daemon.Listen(settings, s.cfg.Logger)
	if err != nil {
		return err
	}
	s.connectNetwork(d)
	d.SetVoters(s.voters())
	s.members[i] = &member{daemon: d, done: make(chan struct{})}
	s.members[i].run()
	return nil
}

// LinkStats returns the counters of every daemon's links.
func (s *System) LinkStats() []peer.Stats {
	out := make([]peer.Stats, 0, len(s.members))
	for _, m := range s.members {
		out = append(out, m.daemon.LinkStats())
	}
	return out
}

// Dump returns the state of a daemon.
func (s *System) Dump(i int) daemon.Dump { return s.members[i].daemon.Dump() }

// Close stops the fleet and the daemons and removes the data folders.
func (s *System) Close() {
	if s.Fleet != nil {
		s.Fleet.Close()
	}
	var wg sync.WaitGroup
	for i := range s.members {
		if s.members[i].cancel != nil {
			wg.Go(func() { _ = s.Stop(i) })
		}
	}
	wg.Wait()
	_ = os.RemoveAll(s.dir)
}

// Confirm submits an intent and confirms its plan. It retries both while control is
// unavailable or the plan is in conflict, until ctx is done.
func (s *System) Confirm(ctx context.Context, intent api.Intent) (api.Plan, api.DecideResponse, error) {
	for {
		plan, decision, err := s.confirmOnce(intent)
		if err == nil || !isTransient(err) {
			return plan, decision, err
		}
		if !pollDelay(ctx) {
			return plan, decision, err
		}
	}
}

func (s *System) confirmOnce(intent api.Intent) (api.Plan, api.DecideResponse, error) {
	plan, err := s.Client.Plan(intent)
	if err != nil {
		return plan, api.DecideResponse{}, err
	}
	decision, err := s.Client.Decide(plan.ID, true, decideWait)
	return plan, decision, err
}

// decideWait is the maximum wait for a confirmed plan to be in force.
const decideWait = 10 * time.Second

// isTransient reports whether an operation may succeed on retry.
func isTransient(err error) bool {
	switch errs.CodeOf(err) {
	case errs.Unavailable, errs.NotLeader, errs.Timeout, errs.Conflict:
		return true
	default:
		return false
	}
}

// Await polls the leader's status until the condition holds. When ctx is done, it
// returns an error that names the condition and includes the last error.
func (s *System) Await(ctx context.Context, what string, holds func(api.StatusResponse) bool) (api.StatusResponse, error) {
	var last error
	for {
		status, err := s.Client.Status()
		if err == nil && holds(status) {
			return status, nil
		}
		if err != nil {
			last = err
		}
		if !pollDelay(ctx) {
			return status, errors.CombineErrors(errors.Newf("await %s: %v", what, ctx.Err()), last)
		}
	}
}

// ReadyGroups counts the ready replicas of a serving group.
func ReadyGroups(s api.StatusResponse, name api.ServingGroupName) int {
	n := 0
	for _, g := range s.View.Groups {
		if g.ServingGroup == name && g.Phase == api.GroupReady {
			n++
		}
	}
	return n
}

// LiveEntries counts the entries that are live and not leaving.
func LiveEntries(s api.StatusResponse) int {
	n := 0
	for _, e := range s.View.Entries {
		if e.Live && !e.Leaving {
			n++
		}
	}
	return n
}

// pollDelay waits for pollInterval and returns false if ctx is done first.
func pollDelay(ctx context.Context) bool {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func newSecret() config.Secret {
	raw := make([]byte, secretBytes)
	_, _ = rand.Read(raw)
	return config.Secret(hex.EncodeToString(raw))
}
