package group_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/clock"
	"github.com/crocusway/crocusway/internal/consensus"
	"github.com/crocusway/crocusway/internal/control"
	"github.com/crocusway/crocusway/internal/group"
	"github.com/crocusway/crocusway/internal/peer"
	"github.com/crocusway/crocusway/internal/routing"
)

// Times of the simulated engines.
const (
	engineAnnounceInterval = 1200 * time.Millisecond
	engineStallTimeout     = 4 * time.Second
	engineLoadTime         = 12 * time.Second
	engineWarmTime         = time.Second
	engineJoinTime         = 200 * time.Millisecond
	engineOpenTime         = 300 * time.Millisecond
)

// engine simulates a host whose engine opens replicas by order.
type engine struct {
	id          api.HostID
	fabric      api.FabricDomain
	domain      api.FailureDomain
	up          bool
	cut         bool
	leaving     bool
	incarnation api.Incarnation
	sequence    uint64
	staged      string
	// highest is the highest fencing number of a join in this incarnation, and term the highest
	// term of any order.
	highest api.Fencing
	term    uint64
	lastUse string

	group   api.GroupID
	fencing api.Fencing
	members []api.HostID
	stage   api.MemberStage
	readyAt time.Time
	openAt  time.Time
	// giveUpAt is when the head stops serving after a member was lost.
	giveUpAt    time.Time
	staging     string
	stageAt     time.Time
	announcedAt time.Time
	announced   api.Announcement
}

// membership identifies one generation of a group.
type membership struct {
	group   api.GroupID
	fencing api.Fencing
}

// sharedFleet is a control service, a planner and simulated engines.
type sharedFleet struct {
	t        require.TestingT
	clock    *clock.Manual
	service  *control.Service
	handlers map[api.Method]peer.Handler
	rec      *group.Reconciler
	log      *instantLog
	engines  []*engine
	byID     map[api.HostID]*engine
	orders   []api.Order
	late     []delayedOrder
	// deliveryOf chooses how an order is delivered; nil delivers all. lateBy is the delay of a
	// late one, nil for 2 s.
	deliveryOf func(api.Order) delivery
	lateBy     func() time.Duration
	// announceLate is the delay of an announcement; nil for none. delayed holds those under way.
	announceLate func(*engine) time.Duration
	delayed      []delayedAnnouncement
	// pausedUntil is when a leader that stands still goes on.
	pausedUntil time.Time
	// readied are the members that were ever ready in a generation.
	readied map[membership]map[api.HostID]bool
	// violation is the first violation of an invariant.
	violation error
	// trace is what happened, for a failure.
	trace []string
	// queue holds the functions that the Reconciler started.
	queue []func()
}

type delayedOrder struct {
	order api.Order
	due   time.Time
}

type delayedAnnouncement struct {
	announcement api.Announcement
	due          time.Time
}

// instantLog commits every command at once on one voter.
type instantLog struct {
	state *control.State
	index uint64
	term  uint64
}

func (l *instantLog) Propose(_ context.Context, command []byte) (any, error) {
	l.index++
	return l.state.Apply(l.index, command), nil
}

func (l *instantLog) ReadBarrier(context.Context) error { return nil }

func (l *instantLog) Status() control.LogStatus {
	return consensus.Status{ID: "v1", Leader: "v1", Term: l.term, Leading: true}
}

// Handle implements peer.Registrar.
func (w *sharedFleet) Handle(m api.Method, h peer.Handler) { w.handlers[m] = h }

func (w *sharedFleet) call(m api.Method, params any) {
	raw, err := json.Marshal(params)
	require.NoError(w.t, err)
	_, err = w.handlers[m](context.Background(), raw)
	require.NoError(w.t, err)
}

func sharedPolicy() group.Policy {
	p := group.DefaultPolicy()
	p.DetectionBound = 2*engineAnnounceInterval + 400*time.Millisecond
	p.StalledSilence = engineAnnounceInterval + 200*time.Millisecond
	p.Grace, p.GraceShare, p.MaxGrace = 0, 0, 0
	p.LeaveDrain = 2500 * time.Millisecond
	p.BackoffBase, p.BackoffMax = 100*time.Millisecond, time.Second
	p.OrderTimeout, p.OrderRetry = 700*time.Millisecond, 400*time.Millisecond
	return p
}

func newSharedFleet(t require.TestingT, planner group.Planner) *sharedFleet {
	state := control.NewState()
	w := &sharedFleet{
		t: t, clock: clock.NewManual(time.Unix(1_700_000_000, 0)), handlers: make(map[api.Method]peer.Handler),
		log: &instantLog{state: state, term: 1}, byID: make(map[api.HostID]*engine),
		readied: make(map[membership]map[api.HostID]bool),
	}
	w.service = control.New(control.Config{
		Log: w.log, State: state, Clock: w.clock, DetectionBound: sharedPolicy().DetectionBound,
		AnnounceGrace: engineAnnounceInterval + time.Second, DisableShardLeases: true,
	})
	w.service.Register(w)
	w.lead(planner)
	w.publish(1, api.EngineModel{Name: "big", Hosts: 4, Share: 0.57}, api.EngineModel{Name: "small", Hosts: 3, Share: 0.43})
	return w
}

// lead starts a new leader term, with an empty planner memory and host table.
func (w *sharedFleet) lead(planner group.Planner) {
	w.log.term++
	w.record("term %d begins", w.log.term)
	w.rec = group.New(group.Config{
		Policy: sharedPolicy(), Sender: w, Clock: w.clock, Planner: planner,
		Go: func(f func()) { w.queue = append(w.queue, f) },
	})
}

func (w *sharedFleet) publish(version uint64, models ...api.EngineModel) {
	p := api.Publication{Version: version, Services: []api.PublishedService{
		{Name: "scribe", Engine: &api.EngineProfile{Slots: 8, LoadsAtOnce: 6, Models: models}},
	}}
	packed, err := routing.Pack(&p)
	require.NoError(w.t, err)
	w.call(api.MethodPublish, api.PublishRequest{Publication: packed, ServingGroups: p.ServingGroups(), Source: routing.Compress([]byte("{}"))})
}

// add starts n hosts of a fabric domain.
func (w *sharedFleet) add(fabric, domain string, n int) {
	for range n {
		e := &engine{
			id: api.HostID(fmt.Sprintf("%s-%02d", fabric, len(w.engines))), fabric: api.FabricDomain(fabric),
			domain: api.FailureDomain(domain), up: true, incarnation: w.nextIncarnation(),
		}
		w.engines = append(w.engines, e)
		w.byID[e.id] = e
	}
}

func (w *sharedFleet) nextIncarnation() api.Incarnation {
	return api.Incarnation(w.clock.Now().UnixMilli())
}

func (w *sharedFleet) kill(e *engine) { e.up = false }

// restart gives a host a new incarnation, which keeps nothing but its weights.
func (w *sharedFleet) restart(e *engine) {
	*e = engine{id: e.id, fabric: e.fabric, domain: e.domain, up: true, incarnation: max(e.incarnation+1, w.nextIncarnation()), staged: e.staged}
}

// Send implements backend.OrderSender.
func (w *sharedFleet) Send(_ context.Context, _ string, o api.Order) (api.OrderResult, error) {
	o.Term = w.log.term
	f := deliveryOK
	if w.deliveryOf != nil {
		f = w.deliveryOf(o)
	}
	w.record("%s of %s/%d to %s sent, delivery %d", o.Kind, o.Group, max(o.Fencing, o.ReleasedFencing), o.Host, f)
	switch f {
	case deliveryLost:
		return api.OrderResult{}, errLost
	case deliveryLate:
		by := 2 * time.Second
		if w.lateBy != nil {
			by = w.lateBy()
		}
		w.late = append(w.late, delayedOrder{order: o, due: w.clock.Now().Add(by)})
		return api.OrderResult{}, errLost
	case deliveryAnswerLost:
		_, _ = w.deliver(o)
		return api.OrderResult{}, errLost
	}
	return w.deliver(o)
}

// deliver executes an order at its host.
func (w *sharedFleet) deliver(o api.Order) (result api.OrderResult, err error) {
	e := w.byID[o.Host]
	result = api.OrderResult{Host: o.Host, Incarnation: o.Incarnation, Fencing: o.Fencing}
	if e == nil || !e.up || e.cut {
		return result, errors.New("no route to the host")
	}
	w.orders = append(w.orders, o)
	defer func() {
		w.record("%s of %s/%d (term %d) at %s: accepted=%v, now in %s/%d %s", o.Kind, o.Group, max(o.Fencing, o.ReleasedFencing), o.Term, o.Host,
			result.Accepted, e.group, e.fencing, e.stage)
	}()
	w.settle()
	if o.Term < e.term {
		result.Reason = "an order of a newer leader was seen"
		return result, nil
	}
	e.term = o.Term
	switch o.Kind {
	case api.OrderAssign:
		result.Accepted = w.join(e, o)
	case api.OrderOpen:
		result.Accepted = w.open(e, o)
	case api.OrderRelease:
		if e.group == o.Group && e.fencing == o.ReleasedFencing {
			w.leaveGroup(e)
		}
		result.Accepted = true
	case api.OrderStage:
		if e.staging != o.Model && e.staged != o.Model {
			e.staging, e.stageAt = o.Model, w.clock.Now().Add(engineLoadTime)
		}
		result.Accepted = true
	}
	w.announce(e)
	return result, nil
}

func (w *sharedFleet) join(e *engine, o api.Order) bool {
	if o.Fencing < e.highest {
		return false
	}
	if e.group == o.Group && e.fencing == o.Fencing {
		return slices.Equal(e.members, o.Members)
	}
	w.checkHead(e, o)
	e.highest = o.Fencing
	loadTime := engineLoadTime
	switch {
	case e.lastUse == o.Model:
		loadTime = engineJoinTime
	case e.staged == o.Model:
		loadTime = engineWarmTime
	}
	e.group, e.fencing, e.members = o.Group, o.Fencing, o.Members
	e.stage, e.readyAt, e.giveUpAt = api.StageJoining, w.clock.Now().Add(loadTime), time.Time{}
	e.lastUse = o.Model
	return true
}

// checkHead checks that no member joins another replica while the head of its current
// one is closing or open, which includes stalled until engineStallTimeout.
func (w *sharedFleet) checkHead(e *engine, o api.Order) {
	if e.group == "" {
		return
	}
	head := w.byID[e.members[0]]
	if !head.up || head.group != e.group || head.fencing != e.fencing {
		return
	}
	if head.stage == api.StageOpen || head.stage == api.StageClosing {
		w.fail("%s, which has not left, joins %s/%d while the head %s of %s/%d is open", e.id, o.Group, o.Fencing, head.id, e.group, e.fencing)
	}
}

// open opens a replica and checks that each member was ready in it.
func (w *sharedFleet) open(e *engine, o api.Order) bool {
	if e.group != o.Group || e.fencing != o.Fencing || e.stage != api.StageReady {
		return e.group == o.Group && e.fencing == o.Fencing && e.stage == api.StageOpen
	}
	for _, id := range e.members {
		if !w.readied[membership{e.group, e.fencing}][id] {
			w.fail("%s opens %s/%d, but %s was never ready in it", e.id, e.group, e.fencing, id)
		}
	}
	e.stage, e.openAt = api.StageOpen, w.clock.Now().Add(engineOpenTime)
	return true
}

func (w *sharedFleet) leaveGroup(e *engine) {
	e.group, e.fencing, e.members, e.stage = "", 0, nil, ""
}

func (w *sharedFleet) record(format string, args ...any) {
	if w.violation != nil {
		return
	}
	at := w.clock.Now().Sub(time.Unix(1_700_000_000, 0)).Seconds()
	w.trace = append(w.trace, fmt.Sprintf("%7.1f ", at)+fmt.Sprintf(format, args...))
}

// history is the end of the trace.
func (w *sharedFleet) history() string {
	return strings.Join(w.trace[max(0, len(w.trace)-200):], "\n")
}

func (w *sharedFleet) fail(format string, args ...any) {
	if w.violation == nil {
		w.violation = errors.Newf(format, args...)
	}
}

// settle updates every engine to the current time.
func (w *sharedFleet) settle() {
	now := w.clock.Now()
	for _, e := range w.engines {
		if !e.up {
			continue
		}
		if e.staging != "" && !now.Before(e.stageAt) {
			e.staged, e.staging = e.staging, ""
		}
		if e.stage == api.StageJoining && !now.Before(e.readyAt) {
			e.stage, e.staged = api.StageReady, e.lastUse
			w.recordReady(e)
		}
	}
	for _, e := range w.engines {
		if e.up && e.stage == api.StageOpen {
			w.settleHead(e, now)
		}
	}
}

func (w *sharedFleet) recordReady(e *engine) {
	m := membership{e.group, e.fencing}
	if w.readied[m] == nil {
		w.readied[m] = make(map[api.HostID]bool)
	}
	w.readied[m][e.id] = true
}

// settleHead breaks a replica engineStallTimeout after its head lost a member.
func (w *sharedFleet) settleHead(e *engine, now time.Time) {
	complete := true
	for _, id := range e.members {
		m := w.byID[id]
		complete = complete && m.up && m.group == e.group && m.fencing == e.fencing
	}
	switch {
	case complete:
		e.giveUpAt = time.Time{}
	case e.giveUpAt.IsZero():
		e.giveUpAt = now.Add(engineStallTimeout)
	case !now.Before(e.giveUpAt):
		e.stage = api.StageBroken
	}
}

// announce sends a host's announcement to control, unless it is down or cut off.
func (w *sharedFleet) announce(e *engine) {
	e.sequence++
	e.announcedAt = w.clock.Now()
	load := api.LoadIdle
	switch e.stage {
	case api.StageJoining:
		load = api.LoadLoading
	case api.StageReady, api.StageOpen, api.StageClosing:
		load = api.LoadReady
	}
	e.announced = api.Announcement{
		Version: api.AnnouncementVersion, Host: e.id, Incarnation: e.incarnation, Sequence: e.sequence, Address: "10.0.0.1:80",
		Kind: api.BackendEngine, Service: "scribe", Fabric: e.fabric, Domain: e.domain, Group: e.group, Fencing: e.fencing,
		Stage: e.stage, Load: load, Staged: e.staged, Warm: true, ChecksFencing: true, Leaving: e.leaving,
	}
	if !e.up || e.cut {
		return
	}
	if w.announceLate != nil {
		if by := w.announceLate(e); by > 0 {
			w.delayed = append(w.delayed, delayedAnnouncement{e.announced, w.clock.Now().Add(by)})
			return
		}
	}
	w.receive(e.announced)
}

// receive passes an announcement to control.
func (w *sharedFleet) receive(a api.Announcement) {
	w.record("announcement %d of %s arrives: %s/%d %s", a.Sequence, a.Host, a.Group, a.Fencing, a.Stage)
	w.call(api.MethodAnnounce, api.AnnounceBatch{Entry: "c1", Incarnation: 1, Announcements: []api.Announcement{a}})
}

const sharedTick = 100 * time.Millisecond

// run advances the clock for a duration and runs engines and planner.
func (w *sharedFleet) run(d time.Duration) {
	for end := w.clock.Now().Add(d); w.clock.Now().Before(end); {
		w.clock.Advance(sharedTick)
		w.settle()
		for _, e := range w.engines {
			changed := e.announced.Stage != e.stage || e.announced.Group != e.group || e.announced.Staged != e.staged
			if e.up && (changed || w.clock.Now().Sub(e.announcedAt) >= engineAnnounceInterval) {
				w.announce(e)
			}
		}
		w.deliverLate()
		w.reconcile()
	}
}

func (w *sharedFleet) deliverLate() {
	delayed := w.delayed
	w.delayed = nil
	for _, d := range delayed {
		if w.clock.Now().Before(d.due) {
			w.delayed = append(w.delayed, d)
			continue
		}
		w.receive(d.announcement)
	}
	kept := w.late[:0]
	for _, l := range w.late {
		if w.clock.Now().Before(l.due) {
			kept = append(kept, l)
			continue
		}
		_, _ = w.deliver(l.order)
	}
	w.late = kept
}

func (w *sharedFleet) reconcile() {
	if w.clock.Now().Before(w.pausedUntil) {
		return
	}
	ctx := context.Background()
	fleet, err := w.service.Fleet(ctx)
	require.NoError(w.t, err)
	require.NoError(w.t, w.rec.Reconcile(ctx, fleet, w.service))
	queued := w.queue
	w.queue = nil
	for _, f := range queued {
		f()
	}
}

// serving counts the replicas of a model that serve.
func (w *sharedFleet) serving(model string) int {
	w.settle()
	n := 0
	for _, e := range w.engines {
		if e.up && e.stage == api.StageOpen && e.giveUpAt.IsZero() && e.lastUse == model {
			n++
		}
	}
	return n
}

// traffic reports to control that requests arrive, which limits concurrent loads.
func (w *sharedFleet) traffic(groups ...api.GroupProgress) {
	w.call(api.MethodProgress, api.ProgressReport{Entry: "e1", Groups: groups})
}

// memberOf returns the host at a rank of some open replica of a model.
func (w *sharedFleet) memberOf(model string, rank int) *engine {
	for _, e := range w.engines {
		if e.up && e.stage == api.StageOpen && e.lastUse == model {
			return w.byID[e.members[rank]]
		}
	}
	return nil
}

func requireNoViolation(t *testing.T, w *sharedFleet) {
	t.Helper()
	require.NoError(t, w.violation, w.history())
}
