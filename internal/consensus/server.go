package consensus

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/clock"
	"github.com/crocusway/crocusway/internal/errs"
	"github.com/crocusway/crocusway/internal/logging"
)

// ServerConfig configures a Server. ID, Store, Transport and StateMachine are
// required.
type ServerConfig struct {
	// ID and Incarnation name this member; they come from storage.Store.Identity.
	ID          api.VoterID
	Incarnation api.Incarnation
	// Address is the peer address that other members reach this one at.
	Address string
	// Bootstrap are the members of a first start, all of BootstrapIncarnation.
	// It is used only when the Store is empty and must be the same on each
	// member. A member that starts empty without it waits for a leader.
	Bootstrap Membership
	// Store persists the state.
	Store Store
	// Transport sends messages to other members.
	Transport Transport
	// StateMachine is called by one goroutine at a time.
	StateMachine StateMachine
	// Clock is the monotonic clock; nil stands for clock.System.
	Clock clock.Clock
	// Logger receives the log of the server; nil discards it.
	Logger log.Logger
	// TickInterval is the interval of the timer; 0 stands for DefaultTick. The
	// heartbeat and the election timeouts are multiples of it.
	TickInterval time.Duration
	// Ticks replaces the timer of TickInterval, so that tests drive the server.
	Ticks <-chan time.Time
	// Seed seeds the randomised election timeout.
	Seed uint64
	// SnapshotEntries is the number of applied entries after which a snapshot is
	// taken; 0 stands for DefaultSnapshotEntries.
	SnapshotEntries uint64
	// ProposalTimeout bounds the wait of a proposal whose context has no
	// deadline; 0 stands for DefaultProposalTimeout.
	ProposalTimeout time.Duration
	// MaxCommandBytes bounds one command; 0 stands for DefaultMaxCommandBytes.
	MaxCommandBytes int
	// Core overrides limits of the core; its timing and identity are set from
	// the fields above.
	Core CoreConfig
}

// Defaults of a Server.
const (
	DefaultSnapshotEntries = 8192
	DefaultProposalTimeout = 5 * time.Second
	DefaultMaxCommandBytes = 1 << 20

	heartbeatTicks   = 2
	electionMinTicks = 12
	electionMaxTicks = 24
	// queueLength bounds each queue of the server.
	queueLength = 4096
	// maxBatch bounds the events taken before one sync.
	maxBatch = 1024
)

func (c *ServerConfig) setDefaults() {
	if c.Clock == nil {
		c.Clock = clock.System{}
	}
	if c.Logger == nil {
		c.Logger = logging.Discard()
	}
	setDefault(&c.TickInterval, DefaultTick)
	setDefault(&c.SnapshotEntries, DefaultSnapshotEntries)
	setDefault(&c.ProposalTimeout, DefaultProposalTimeout)
	setDefault(&c.MaxCommandBytes, DefaultMaxCommandBytes)
	c.Core.ID = c.ID
	c.Core.Incarnation = c.Incarnation
	c.Core.Seed = c.Seed
	c.Core.Heartbeat = heartbeatTicks * c.TickInterval
	c.Core.ElectionMin = electionMinTicks * c.TickInterval
	c.Core.ElectionMax = electionMaxTicks * c.TickInterval
}

// Server runs a Core: one goroutine steps it, syncs its log, sends its messages
// and applies committed entries. Proposals that arrive during a sync share the
// next one.
type Server struct {
	cfg    ServerConfig
	origin time.Time
	logger log.Logger
	core   *Core

	inbox   chan []Message
	queue   chan func()
	stop    chan struct{}
	done    chan struct{}
	started atomic.Bool
	once    sync.Once

	mu     sync.Mutex
	err    error
	status publishedStatus

	// The fields below belong to the run goroutine.
	proposals map[uint64]*proposal
	reads     map[uint64]*read
	nextRead  uint64
	applied   uint64
	snapshot  uint64
	routes    map[api.VoterID]string
	lastRole  role
}

// publishedStatus is what other goroutines may read of the core.
type publishedStatus struct {
	status     Status
	leaseEnd   time.Duration
	leased     bool
	leaderAddr string
	membership Membership
}

// NewServer recovers the state from the Store and returns a server that Run
// starts.
func NewServer(cfg ServerConfig) (*Server, error) {
	cfg.setDefaults()
	s := &Server{
		cfg:       cfg,
		origin:    cfg.Clock.Now(),
		logger:    logging.For(cfg.Logger, "consensus"),
		inbox:     make(chan []Message, queueLength),
		queue:     make(chan func(), queueLength),
		stop:      make(chan struct{}),
		done:      make(chan struct{}),
		proposals: map[uint64]*proposal{},
		reads:     map[uint64]*read{},
		routes:    map[api.VoterID]string{},
	}
	state, err := s.load()
	if err != nil {
		return nil, err
	}
	s.core = NewCore(cfg.Core, state, s.now())
	s.publish()
	return s, nil
}

// load reads the Store, bootstraps an empty one and restores the snapshot.
func (s *Server) load() (State, error) {
	state, err := s.cfg.Store.Load()
	if err != nil {
		return State{}, errs.Wrap(err, "load log", "")
	}
	empty := len(state.Snapshot.Membership.Members) == 0 && len(state.Entries) == 0 && state.HardState == HardState{}
	if empty && len(s.cfg.Bootstrap.Members) > 0 {
		if err := s.cfg.Bootstrap.check(); err != nil {
			return State{}, err
		}
		state.Snapshot.Membership = s.cfg.Bootstrap
		if err := s.cfg.Store.SaveSnapshot(state.Snapshot); err != nil {
			return State{}, errs.Wrap(err, "save bootstrap membership", "")
		}
	}
	if state.Snapshot.Index > 0 {
		if err := s.cfg.StateMachine.Restore(state.Snapshot.Data); err != nil {
			return State{}, errs.Wrap(err, "restore snapshot", "")
		}
	}
	s.applied = state.Snapshot.Index
	s.snapshot = state.Snapshot.Index
	return state, nil
}

func (s *Server) now() time.Duration { return s.cfg.Clock.Now().Sub(s.origin) }

// Start runs the server until Stop or until its store fails.
func (s *Server) Start() {
	if s.started.CompareAndSwap(false, true) {
		go s.run()
	}
}

// Stop ends the server and waits for it. The Store stays open.
func (s *Server) Stop() {
	s.once.Do(func() { close(s.stop) })
	if s.started.CompareAndSwap(false, true) {
		close(s.done)
	}
	<-s.done
}

// Done is closed when the server has ended.
func (s *Server) Done() <-chan struct{} { return s.done }

// Err returns the failure that ended the server, or nil.
func (s *Server) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// Receive hands messages of other members to the server. It never blocks;
// messages beyond the queue are dropped.
func (s *Server) Receive(msgs []Message) {
	select {
	case s.inbox <- msgs:
	default:
	}
}

func (s *Server) run() {
	defer close(s.done)
	ticks := s.cfg.Ticks
	if ticks == nil {
		ticker := time.NewTicker(s.cfg.TickInterval)
		defer ticker.Stop()
		ticks = ticker.C
	}
	s.carryOut()
	for s.Err() == nil && s.next(ticks) {
		s.carryOut()
	}
	s.abandon()
}

// next takes one event and what has queued up behind it. It returns false when
// the server is to stop.
func (s *Server) next(ticks <-chan time.Time) bool {
	select {
	case <-s.stop:
		return false
	case <-ticks:
		s.core.Tick(s.now())
	case msgs := <-s.inbox:
		s.step(msgs)
	case f := <-s.queue:
		f()
	}
	for range maxBatch {
		select {
		case msgs := <-s.inbox:
			s.step(msgs)
		case f := <-s.queue:
			f()
		default:
			return true
		}
	}
	return true
}

func (s *Server) step(msgs []Message) {
	now := s.now()
	for _, m := range msgs {
		if m.Address != "" {
			s.routes[m.From] = m.Address
		}
		s.core.Step(now, m)
	}
}

// carryOut executes what the core asks for, in the order that keeps its
// promises: sync first, then acknowledge.
func (s *Server) carryOut() {
	for s.core.HasReady() {
		rd := s.core.Ready()
		s.publish()
		s.send(rd.Messages)
		if err := s.persist(rd); err != nil {
			s.fail(err)
			return
		}
		s.core.Advance()
		s.send(rd.Responses)
		s.apply(rd.Committed)
		s.confirmReads(rd.Reads)
		if err := s.compact(); err != nil {
			s.fail(err)
			return
		}
	}
	s.publish()
}

func (s *Server) persist(rd Ready) error {
	if rd.Snapshot != nil {
		if err := s.install(*rd.Snapshot); err != nil {
			return err
		}
	}
	if !rd.MustSync {
		return nil
	}
	return errs.Wrap(s.cfg.Store.Save(rd.HardState, rd.Entries), "sync log", "")
}

// send groups messages by receiver.
func (s *Server) send(msgs []Message) {
	groups := map[api.VoterID][]Message{}
	for _, m := range msgs {
		m.Address = s.cfg.Address
		groups[m.To] = append(groups[m.To], m)
	}
	for id, group := range groups {
		s.cfg.Transport.Send(s.route(id), group)
	}
}

// route returns where to reach a member. A leader that is not yet in our
// membership is reached at the address in its messages.
func (s *Server) route(id api.VoterID) Member {
	member, ok := s.core.Membership().find(id)
	if !ok {
		member = Member{ID: id}
	}
	if address, ok := s.routes[id]; ok {
		member.Address = address
	}
	return member
}

// fail stops the server after a failure of its store.
func (s *Server) fail(err error) {
	s.mu.Lock()
	s.err = err
	s.status.leased = false
	s.mu.Unlock()
	level.Error(s.logger).Log("msg", "Store failed, voter stops.", "err", err)
}

// publish copies what other goroutines read of the core.
func (s *Server) publish() {
	p := publishedStatus{
		status: Status{
			ID:      s.cfg.ID,
			Leader:  s.core.leader,
			Term:    s.core.term,
			Applied: s.applied,
			Voters:  s.voters(),
		},
		leaderAddr: s.route(s.core.leader).Address,
		membership: s.core.Membership(),
	}
	p.leaseEnd, p.leased = s.core.LeaseEnd()
	if s.core.role != s.lastRole {
		s.lastRole = s.core.role
		level.Info(s.logger).Log("msg", "Role changed.", "role", s.lastRole, "term", s.core.term)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status = p
}

func (s *Server) voters() []api.VoterStatus {
	members := s.core.Membership().Members
	out := make([]api.VoterStatus, 0, len(members))
	for _, m := range members {
		out = append(out, api.VoterStatus{ID: m.ID, Address: m.Address, Role: s.roleOf(m), Match: s.core.match(m.ID)})
	}
	return out
}

func (s *Server) roleOf(m Member) string {
	switch {
	case m.Learner:
		return "learner"
	case m.ID == s.core.leader:
		return "leader"
	}
	return "follower"
}

// Status returns the state of this voter. Leading is computed at the call.
func (s *Server) Status() Status {
	s.mu.Lock()
	p := s.status
	s.mu.Unlock()
	p.status.Leading = p.leased && s.now() < p.leaseEnd
	return p.status
}

// Membership returns the newest membership in the log of this member.
func (s *Server) Membership() Membership {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status.membership
}

// notLeader returns the error of a member that does not lead, with the address
// of the leader where one is known.
func (s *Server) notLeader(step string) error {
	s.mu.Lock()
	address := s.status.leaderAddr
	s.mu.Unlock()
	err := errs.New(errs.NotLeader, step, string(s.cfg.ID), "not the leader")
	err.Detail = address
	return err
}

// submit queues f for the run goroutine.
func (s *Server) submit(ctx context.Context, step string, f func()) error {
	select {
	case s.queue <- f:
		return nil
	case <-s.done:
		return s.stopped(step)
	case <-ctx.Done():
		return errs.New(errs.Unavailable, step, "", "not sent: %w", ctx.Err())
	default:
		return errs.New(errs.Full, step, "", "the queue of the voter is full")
	}
}

func (s *Server) stopped(step string) error {
	if err := s.Err(); err != nil {
		return errs.New(errs.Unavailable, step, "", "the voter has stopped: %w", err)
	}
	return errs.New(errs.Unavailable, step, "", "the voter has stopped")
}
