package group

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"go.opentelemetry.io/otel/metric"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/backend"
	"github.com/crocusway/crocusway/internal/clock"
	"github.com/crocusway/crocusway/internal/errs"
	"github.com/crocusway/crocusway/internal/logging"
)

// Store applies changes of groups to the replicated state.
type Store interface {
	// ChangeGroup returns once the change is committed and applied. It fails
	// with errs.Stale or errs.Conflict when the state has changed since, with
	// errs.NotLeader on a former leader, and with errs.Timeout when the outcome
	// is unknown.
	ChangeGroup(ctx context.Context, c api.GroupChange) (api.GroupChangeResult, error)
}

// Planner evaluates a view. Like Decide it has no side effects.
type Planner func(v api.FleetView, m *Memory, p Policy, now time.Time) Plan

// Config holds the settings and dependencies of a Reconciler.
type Config struct {
	Policy Policy
	Sender backend.OrderSender
	Clock  clock.Clock
	Logger log.Logger
	// Leading reports whether the leader lease is valid now. It is checked right
	// before each order is sent; nil means always.
	Leading func() bool
	// Planner evaluates views; nil selects Decide.
	Planner Planner
	// Meter is for the number of held hosts; nil for none.
	Meter metric.Meter
	// Go runs a function without blocking; nil starts a goroutine.
	Go func(func())
}

// Reconciler drives the groups of the fleet towards the wanted state. It is
// safe for concurrent use.
type Reconciler struct {
	cfg    Config
	logger log.Logger
	mu     sync.Mutex
	mem    *Memory
	last   time.Time
	orders dispatcher
	// idle and idleAt are the text and the time of the last log line on idle hosts.
	idle   string
	idleAt time.Time
	held   heldHosts
}

// New returns a Reconciler with an empty memory.
func New(cfg Config) *Reconciler {
	if cfg.Clock == nil {
		cfg.Clock = clock.System{}
	}
	if cfg.Logger == nil {
		cfg.Logger = logging.Discard()
	}
	if cfg.Leading == nil {
		cfg.Leading = func() bool { return true }
	}
	if cfg.Go == nil {
		cfg.Go = func(f func()) { go f() }
	}
	if cfg.Planner == nil {
		cfg.Planner = Decide
	}
	r := &Reconciler{cfg: cfg, logger: logging.For(cfg.Logger, "group"), mem: NewMemory()}
	r.orders = dispatcher{cfg: &r.cfg, logger: r.logger}
	if cfg.Meter != nil {
		if err := r.observeHeld(cfg.Meter); err != nil {
			level.Warn(r.logger).Log("msg", "The gauge of held hosts could not be created.", "err", err)
		}
	}
	return r
}

// Reset clears the memory and discards collected answers. Call it when this
// process becomes the leader.
func (r *Reconciler) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.collectAnswers(r.cfg.Clock.Now())
	r.mem = r.mem.renewed()
}

// Reconcile evaluates a view, commits the planned changes and starts the orders
// that the view calls for; it does not wait for their answers. Call it on the
// leader only, under the leader lease, at each change of the fleet and at least
// every detection bound. It stops at the first change whose outcome is not
// certain.
func (r *Reconciler) Reconcile(ctx context.Context, fleet api.FleetView, store Store) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock.Now()
	r.resetAfterGap(now)
	r.collectAnswers(now)
	r.mem.Observe(&fleet, &r.cfg.Policy, now)
	plan := r.cfg.Planner(fleet, r.mem, r.cfg.Policy, now)
	r.dispatch(ctx, plan.Orders, now)
	r.logIdle(plan.Idle, now)
	r.reportHeld(plan.Held, now)
	return r.apply(ctx, plan.Changes, store)
}

// idleLogInterval is the minimum time between two log lines on idle hosts.
const idleLogInterval = time.Second

// logIdle logs the idle hosts when they have changed.
func (r *Reconciler) logIdle(idle string, now time.Time) {
	if idle == r.idle || now.Sub(r.idleAt) < idleLogInterval {
		return
	}
	r.idle, r.idleAt = idle, now
	level.Info(r.logger).Log("msg", "Idle hosts.", "hosts", idle)
}

// maxMemoryGap is the time between two evaluations above which the memory is
// discarded as outdated.
const maxMemoryGap = 15 * time.Second

// resetAfterGap discards the memory after a gap longer than maxMemoryGap.
func (r *Reconciler) resetAfterGap(now time.Time) {
	if !r.last.IsZero() && now.Sub(r.last) > maxMemoryGap {
		r.mem = r.mem.renewed()
	}
	r.last = now
}

func (r *Reconciler) apply(ctx context.Context, changes []Change, store Store) error {
	for i := range changes {
		if err := r.applyOne(ctx, &changes[i], store); err != nil {
			return err
		}
	}
	return nil
}

func (r *Reconciler) applyOne(ctx context.Context, c *Change, store Store) error {
	if c.Kind == api.GroupForm && c.Group.ID != "" {
		r.mem.formed[c.Group.ID] = true
	}
	_, err := store.ChangeGroup(ctx, c.GroupChange)
	if outdated(err) {
		if c.Kind == api.GroupForm {
			delete(r.mem.formed, c.Group.ID)
		}
		level.Debug(r.logger).Log("msg", "Change is outdated.", "kind", c.Kind, "group", c.Group.ID, "err", err)
		return nil
	}
	r.mem.budget.spend(c.Bytes)
	if err != nil {
		return errs.Wrap(err, "change group", "")
	}
	level.Info(r.logger).Log("msg", "Group changed.", "kind", c.Kind, "group", c.Group.ID,
		"host", c.Host, "fencing", c.Fencing, "phase", c.Group.Phase, "reason", c.Reason, "detail", c.Detail)
	return nil
}

// outdated reports whether a change was refused because the state has changed since
// the view.
func outdated(err error) bool {
	return errs.Is(err, errs.Stale) || errs.Is(err, errs.Conflict) || errs.Is(err, errs.NotFound)
}
