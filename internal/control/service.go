package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/clock"
	"github.com/crocusway/crocusway/internal/errs"
	"github.com/crocusway/crocusway/internal/logging"
	"github.com/crocusway/crocusway/internal/peer"
)

// Service handles the calls of the control role and runs the duties of its
// leader. On another voter every call fails with errs.NotLeader.
type Service struct {
	cfg     Config
	log     Log
	state   *State
	logger  log.Logger
	metrics *metrics

	// leading is the current leadership, nil on a follower.
	leading   atomic.Pointer[leadership]
	leadingMu sync.Mutex
	// tickMu serialises rounds of duties.
	tickMu            sync.Mutex
	reconcileRequests chan struct{}
	ticks             *broadcast
	updates           updateCache
	renewed           *broadcast
	// extend returns the end of a renewed work lease. It is a field so that
	// tests can replace it and show that the fuzz test detects the fault.
	extend func(until, renewed time.Time) time.Time
}

// New returns a service for one voter. Call Register and Run.
func New(cfg Config) *Service {
	cfg = cfg.withDefaults()
	s := &Service{
		cfg:               cfg,
		log:               cfg.Log,
		state:             cfg.State,
		logger:            logging.For(cfg.Logger, "control"),
		reconcileRequests: make(chan struct{}, 1),
		ticks:             newBroadcast(),
		renewed:           newBroadcast(),
		extend:            laterOf,
	}
	s.metrics = newMetrics(cfg.Meter, s)
	return s
}

// Register adds the handlers of every control call.
func (s *Service) Register(r peer.Registrar) {
	r.Handle(api.MethodRenew, peer.Typed(s.renew))
	r.Handle(api.MethodWatch, peer.Typed(s.encodedWatch))
	r.Handle(api.MethodAnnounce, peer.Typed(s.announce))
	r.Handle(api.MethodPlan, peer.Typed(s.plan))
	r.Handle(api.MethodDecide, peer.Typed(s.decide))
	r.Handle(api.MethodPlans, peer.Typed(s.plans))
	r.Handle(api.MethodStatus, peer.Typed(s.status))
	r.Handle(api.MethodHistory, peer.Typed(s.history))
	r.Handle(api.MethodMember, peer.Typed(s.member))
	r.Handle(api.MethodRecordOpen, peer.Typed(s.recordOpen))
	r.Handle(api.MethodRecordEnd, peer.Typed(s.recordEnd))
	r.Handle(api.MethodRecordGet, peer.Typed(s.recordGet))
	r.Handle(api.MethodSuspect, peer.Typed(s.suspect))
	r.Handle(api.MethodQuarantine, peer.Typed(s.quarantine))
	r.Handle(api.MethodPublish, peer.Typed(s.publish))
	r.Handle(api.MethodPublication, peer.Typed(s.publicationInForce))
	r.Handle(api.MethodDomain, peer.Typed(s.setDomain))
	r.Handle(api.MethodDomainPrecondition, peer.Typed(s.domainPrecondition))
	r.Handle(api.MethodDepart, peer.Typed(s.depart))
	r.Handle(api.MethodIncarnation, peer.Typed(s.incarnation))
	r.Handle(api.MethodProgress, peer.Typed(s.progress))
	r.Handle(api.MethodEnroll, peer.Typed(s.enroll))
}

// Run runs the duties of the leader until ctx ends. It returns the error of a
// state that can't continue.
func (s *Service) Run(ctx context.Context) error {
	defer s.stepDown()
	ticker := time.NewTicker(s.cfg.TickInterval)
	defer ticker.Stop()
	var reconcilers sync.WaitGroup
	defer reconcilers.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	reconcilers.Go(func() { s.runReconciler(ctx) })
	for {
		s.tick(ctx)
		if err := s.state.Err(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// runReconciler calls the reconciler periodically and on changes while this
// voter leads.
func (s *Service) runReconciler(ctx context.Context) {
	if s.cfg.Reconciler == nil {
		return
	}
	ticker := time.NewTicker(s.cfg.ReconcileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.reconcileRequests:
		}
		s.reconcile(ctx)
		if !clock.Sleep(ctx, s.cfg.ReconcileInterval/reconcileGapDivisor) {
			return
		}
	}
}

// reconcileGapDivisor divides ReconcileInterval to give the shortest pause
// between two reconciliations.
const reconcileGapDivisor = 4

// requestReconcile triggers a reconciliation soon.
func (s *Service) requestReconcile() {
	select {
	case s.reconcileRequests <- struct{}{}:
	default:
	}
}

// reconcile runs the reconciler once, if this voter leads.
func (s *Service) reconcile(ctx context.Context) {
	lead := s.leading.Load()
	if lead == nil || !s.stillLeading(lead) {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(lead.ctx, cancel)
	defer stop()
	s.cfg.Reconciler.Reconcile(ctx, s.fleet(lead), s)
}

// ChangeGroup implements GroupStore.
func (s *Service) ChangeGroup(ctx context.Context, change api.GroupChange) (api.GroupChangeResult, error) {
	if _, err := s.lead(ctx); err != nil {
		return api.GroupChangeResult{}, err
	}
	return propose[api.GroupChangeResult](ctx, s, &groupCommand{Change: change})
}

// Fleet returns the immutable snapshot that the planner evaluates. It fails
// with errs.NotLeader on another voter.
func (s *Service) Fleet(ctx context.Context) (api.FleetView, error) {
	lead, err := s.lead(ctx)
	if err != nil {
		return api.FleetView{}, err
	}
	return s.fleet(lead), nil
}

func (s *Service) fleet(lead *leadership) api.FleetView {
	fleet := s.state.Fleet()
	now := s.cfg.Clock.Now()
	fleet.Hosts = lead.hosts.withAssumed(fleet, now)
	fleet.Progress = lead.progress.groupProgress(fleet.Groups, now)
	fleet.Traffic = lead.progress.hasReports()
	s.markDepartures(fleet.Hosts)
	return fleet
}

// propose commits a command and returns its result.
func propose[T any](ctx context.Context, s *Service, cmd command) (T, error) {
	var none T
	data, err := encodeCommand(cmd, s.cfg.Clock.Now().UnixMilli())
	if err != nil {
		return none, err
	}
	result, err := s.log.Propose(ctx, data)
	if err != nil {
		return none, s.proposeError(err)
	}
	s.metrics.command(ctx, cmd.kind())
	if refused, ok := result.(error); ok {
		return none, refused
	}
	value, ok := result.(T)
	if !ok {
		return none, refuse(errs.Internal, "apply command", "unexpected result %T", result)
	}
	return value, nil
}

func (s *Service) proposeError(err error) error {
	if errs.Is(err, errs.NotLeader) {
		return s.notLeader("propose command")
	}
	return errs.Wrap(err, "propose command", "")
}

// wait returns once done reports true, at a time of the service's clock, or
// when ctx ends. It returns whether done reported true.
func (s *Service) wait(ctx context.Context, until time.Time, source *broadcast, done func() bool) bool {
	for {
		changed, tick := source.wait(), s.ticks.wait()
		if done() {
			return true
		}
		if !s.cfg.Clock.Now().Before(until) {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		case <-tick:
		}
	}
}

// deadline returns when a long poll ends.
func (s *Service) deadline(waitMillis int64) time.Time {
	wait := min(time.Duration(waitMillis)*time.Millisecond, s.cfg.Limits.MaxWait)
	return s.cfg.Clock.Now().Add(wait)
}
