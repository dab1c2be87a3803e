package consensus

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
	"github.com/crocusway/crocusway/internal/logging"
)

// Server runs a Core: one goroutine steps it, syncs its log, sends its messages
// and applies committed entries. Proposals that arrive during a sync share the
// next one.
type Server struct {
	cfg    ServerConfig
	origin time.Time
	logger log.Logger
	core   *Core

	inbox    chan []Message
	calls    chan func()
	encoded  chan encodedSnapshot
	stop     chan struct{}
	done     chan struct{}
	started  atomic.Bool
	stopOnce sync.Once

	mu     sync.Mutex
	err    error
	status publishedStatus

	// Only the run goroutine accesses the fields below.
	proposals map[uint64]*proposal
	reads     map[uint64]chan<- error
	nextRead  uint64
	applied   uint64
	snapshot  uint64
	// appliedBytes counts the commands applied since the newest snapshot.
	appliedBytes int
	// pendingBytes counts the commands of proposals.
	pendingBytes int
	routes       map[api.VoterID]string
	// encoding is set while a snapshot is encoded; snapshotWaiters wait for it.
	encoding        bool
	snapshotWaiters []chan<- error
	encoders        sync.WaitGroup
	lastRole        role
	lastMembers     string
	rounds          *roundMeter
}

// NewServer recovers the state from the Store and returns a server that Start
// starts.
func NewServer(cfg ServerConfig) (*Server, error) {
	cfg.setDefaults()
	s := &Server{
		cfg:       cfg,
		origin:    cfg.Clock.Now(),
		logger:    logging.For(cfg.Logger, "consensus"),
		inbox:     make(chan []Message, inboxLength),
		calls:     make(chan func(), queueLength),
		encoded:   make(chan encodedSnapshot, 1),
		stop:      make(chan struct{}),
		done:      make(chan struct{}),
		proposals: map[uint64]*proposal{},
		reads:     map[uint64]chan<- error{},
		routes:    map[api.VoterID]string{},
	}
	s.rounds = newRoundMeter(s.now, s.logger, cfg.Meter, cfg.Core.Heartbeat)
	state, err := s.load()
	if err != nil {
		return nil, err
	}
	s.core = NewCore(cfg.Core, state, s.now())
	if err := s.core.Err(); err != nil {
		return nil, err
	}
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
		if err := s.bootstrap(&state); err != nil {
			return State{}, err
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

// bootstrap makes the membership of a first start durable.
func (s *Server) bootstrap(state *State) error {
	if s.cfg.Incarnation != BootstrapIncarnation {
		level.Warn(s.logger).Log("msg", "Data folder was created without bootstrap, voter waits for a leader.")
		return nil
	}
	if err := s.cfg.Bootstrap.check(); err != nil {
		return err
	}
	state.Snapshot.Membership = s.cfg.Bootstrap
	return errs.Wrap(s.cfg.Store.SaveSnapshot(state.Snapshot), "save bootstrap membership", "")
}

func (s *Server) now() time.Duration { return s.cfg.Clock.Now().Sub(s.origin) }

// Start runs the server until Stop or a fatal error.
func (s *Server) Start() {
	if s.started.CompareAndSwap(false, true) {
		go s.run()
	}
}

// Stop stops the server and waits until it has ended. The Store stays open.
func (s *Server) Stop() {
	s.stopOnce.Do(func() { close(s.stop) })
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
// messages are dropped while the inbox is full.
func (s *Server) Receive(msgs []Message) {
	select {
	case s.inbox <- msgs:
	default:
	}
}

func (s *Server) run() {
	defer close(s.done)
	defer s.encoders.Wait()
	ticks := s.cfg.Ticks
	if ticks == nil {
		ticker := time.NewTicker(s.cfg.TickInterval)
		defer ticker.Stop()
		ticks = ticker.C
	}
	s.rounds.begin()
	s.processReady()
	for s.Err() == nil && s.processEvents(ticks) {
		s.processReady()
	}
	s.failPending()
}

// closedChannel is always ready.
var closedChannel = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// processEvents waits for one event, unless the core has more to send, and processes
// it with those queued behind it. It returns false when the server is to stop.
func (s *Server) processEvents(ticks <-chan time.Time) bool {
	var more <-chan struct{}
	if s.core.HasReady() {
		more = closedChannel
	}
	select {
	case <-s.stop:
		return false
	case <-ticks:
		s.rounds.begin()
	case msgs := <-s.inbox:
		s.rounds.begin()
		s.step(msgs)
	case f := <-s.calls:
		s.rounds.begin()
		f()
	case e := <-s.encoded:
		s.rounds.begin()
		s.finishSnapshot(e)
	case <-more:
		s.rounds.begin()
	}
	s.core.Tick(s.now())
	for range maxBatch {
		select {
		case msgs := <-s.inbox:
			s.step(msgs)
		case f := <-s.calls:
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

// processReady executes one output of the core in the order that its guarantees
// require: sync first, then acknowledge.
func (s *Server) processReady() {
	defer s.rounds.end()
	s.rounds.lap(stageEvents)
	if s.core.HasReady() {
		rd := s.core.Ready()
		s.publish()
		s.send(rd.Messages)
		s.rounds.lap(stageSend)
		if err := s.persist(rd); err != nil {
			s.fail(err)
			return
		}
		s.rounds.lap(stageSync)
		s.core.Advance()
		s.send(rd.Responses)
		s.rounds.lap(stageSend)
		values := s.apply(rd.Committed)
		// Published first, so that the status includes the results that callers get.
		s.publish()
		s.completeProposals(rd.Committed, values)
		s.completeReads(rd.Reads)
		if err := s.compact(); err != nil {
			s.fail(err)
			return
		}
		s.rounds.lap(stageApply)
	}
	s.rounds.recordHeartbeat(s.core.takeRoundTrip())
	if s.core.Obsolete() {
		s.rejoinAsLearner()
	}
	if err := s.core.Err(); err != nil {
		s.fail(err)
		return
	}
	s.publish()
}

// rejoinAsLearner abandons a bootstrap into a cluster that already existed. The
// member waits for the leader under a new incarnation.
func (s *Server) rejoinAsLearner() {
	incarnation, err := s.cfg.Store.RenewIncarnation()
	if err != nil {
		s.fail(errs.Wrap(err, "renew incarnation", ""))
		return
	}
	level.Warn(s.logger).Log("msg", "Cluster already exists, voter rejoins as learner.", "incarnation", incarnation)
	s.cfg.Core.Incarnation = incarnation
	state := State{Snapshot: Snapshot{Membership: s.core.Membership()}}
	s.core = NewCore(s.cfg.Core, state, s.now())
}

func (s *Server) persist(rd Ready) error {
	if rd.Snapshot != nil {
		if err := s.installSnapshot(*rd.Snapshot); err != nil {
			return err
		}
	}
	if !rd.MustSync {
		return nil
	}
	return errs.Wrap(s.cfg.Store.Save(rd.HardState, rd.Entries), "sync log", "")
}

// send groups messages by receiver into batches of bounded size.
func (s *Server) send(msgs []Message) {
	groups := map[api.VoterID][]Message{}
	for _, m := range msgs {
		m.Address = s.cfg.Address
		groups[m.To] = append(groups[m.To], m)
	}
	for id, group := range groups {
		s.rounds.countSent(group)
		to := s.route(id)
		for len(group) > 0 {
			n := batchLength(group)
			s.cfg.Transport.Send(to, group[:n:n])
			group = group[n:]
		}
	}
}

// batchLength returns how many leading messages fit into one batch.
func batchLength(msgs []Message) int {
	size := 0
	for i := range msgs {
		size += msgs[i].size()
		if i > 0 && (size > batchBytes || i == MaxBatchMessages) {
			return i
		}
	}
	return len(msgs)
}

// route returns a member with its address. The address in its messages takes
// precedence, as a new leader may not be in our membership yet.
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

// fail stops the server after a failure of its store, state machine or core.
func (s *Server) fail(err error) {
	s.mu.Lock()
	s.err = err
	s.status.hasLease = false
	s.mu.Unlock()
	level.Error(s.logger).Log("msg", "Stopping voter after a fatal error.", "err", err)
}
