package group

import (
	"slices"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// Memory holds the planner's state between views. The zero value is the state of
// a new leader, with which every decision is safe. It is not safe for concurrent
// use.
type Memory struct {
	started time.Time
	hosts   map[api.HostID]*host
	// shown and assigned are the hosts of the last view, in its order of hosts
	// and of assignments: most views keep this order, which saves map lookups.
	shown    []*host
	assigned []*host
	groups   map[api.GroupID]*groupMemory
	accounts map[api.GroupID]*replicaAccount
	// formed holds the groups that this memory's owner has formed.
	formed   map[api.GroupID]bool
	drained  map[api.FailureDomain]time.Time
	loadTime map[api.ServingGroupName]time.Duration
	budget   budget
	// assumesOrders is set for a forecast, in which no orders are sent.
	assumesOrders bool
}

// host holds what the last view shows of one host, and its history.
type host struct {
	id api.HostID
	// status and assign point into the last view; nil when it has none.
	status *api.HostStatus
	assign *api.Assignment

	incarnation api.Incarnation
	sequence    uint64
	// seen is when a view last showed the host.
	seen time.Time
	// stale is set while the view shows an older announcement than an earlier view.
	stale     bool
	alive     bool
	deadSince time.Time
	// aliveSince is when the host last became alive or restarted.
	aliveSince time.Time
	// returnedAt is when the host was last heard again in the incarnation that had gone silent,
	// for the first maxSilentFailures times.
	returnedAt   time.Time
	leavingSince time.Time
	// freeSince is when a view first showed the host without an assignment.
	freeSince   time.Time
	failures    int
	lastFailure time.Time
	// group and fencing are the membership that the host announced last.
	group   api.GroupID
	fencing api.Fencing
	// first is the first announcement that this leader received of the host, and when.
	first   firstAnnouncement
	order   orderMemory
	release releaseMemory
}

type firstAnnouncement struct {
	incarnation api.Incarnation
	sequence    uint64
	at          time.Time
}

// orderMemory tracks the newest order sent to a host.
type orderMemory struct {
	kind    api.OrderKind
	fencing api.Fencing
	sent    time.Time
	// incarnation is what the host announced when the order was sent.
	incarnation api.Incarnation
	// lastAssign is when an assign order was last sent.
	lastAssign time.Time
	// refused counts the refusals of the newest order.
	refused int
	// model is what a stage order loads.
	model string
}

// releaseMemory tracks the proof that a membership has ended.
type releaseMemory struct {
	fencing api.Fencing
	// seen is when this leader first saw the membership releasing.
	seen time.Time
	// ackSent is when the acknowledged release order was sent.
	ackSent        time.Time
	acked          bool
	ackIncarnation api.Incarnation
}

type groupMemory struct {
	fencing    api.Fencing
	phase      api.GroupPhase
	phaseSince time.Time
	loadSince  time.Time
	// retiringSince is when a view first showed the group as retiring.
	retiringSince time.Time
	members       []*host
	// announced marks the members that announced this generation.
	announced []bool
}

// NewMemory returns an empty memory.
func NewMemory() *Memory { return &Memory{} }

// Observe records a view at a time of the monotonic clock. Call it before Decide
// with the same view.
func (m *Memory) Observe(v *api.FleetView, p *Policy, now time.Time) {
	m.init(v, now)
	m.observeHosts(v, p, now)
	m.observeAssignments(v, now)
	m.observeGroups(v, now)
	m.observeDomains(v, now)
	m.budget.refill(p, now)
}

func (m *Memory) init(v *api.FleetView, now time.Time) {
	if m.hosts != nil {
		return
	}
	m.started = now
	if m.accounts == nil {
		m.accounts = make(map[api.GroupID]*replicaAccount, len(v.Groups))
	}
	m.formed = make(map[api.GroupID]bool)
	m.hosts = make(map[api.HostID]*host, len(v.Hosts))
	m.groups = make(map[api.GroupID]*groupMemory, len(v.Groups))
	m.drained = make(map[api.FailureDomain]time.Time)
	m.loadTime = make(map[api.ServingGroupName]time.Duration)
	m.budget.start(v, now)
}

func (m *Memory) host(id api.HostID) *host {
	h, ok := m.hosts[id]
	if !ok {
		h = &host{id: id}
		m.hosts[id] = h
	}
	return h
}

// hostAt returns a host by name. In most views it is at position i of the list of
// the last view, which saves the map lookup.
func (m *Memory) hostAt(list []*host, i int, id api.HostID) *host {
	if i < len(list) && list[i].id == id {
		return list[i]
	}
	return m.host(id)
}

func (m *Memory) observeHosts(v *api.FleetView, p *Policy, now time.Time) {
	for _, h := range m.shown {
		h.status = nil
	}
	shown := slices.Grow(m.shown[:0:0], len(v.Hosts))
	if len(m.shown) == len(v.Hosts) {
		shown = m.shown[:0]
	}
	for i := range v.Hosts {
		s := &v.Hosts[i]
		h := m.hostAt(m.shown, i, s.Announcement.Host)
		shown = append(shown, h)
		h.status, h.seen = s, now
		h.observe(s, p, now)
	}
	m.shown = shown
}

func (h *host) observe(s *api.HostStatus, p *Policy, now time.Time) {
	a := &s.Announcement
	h.stale = a.Incarnation < h.incarnation ||
		(a.Incarnation == h.incarnation && a.Sequence < h.sequence)
	if h.stale {
		return
	}
	restarted := h.incarnation != 0 && a.Incarnation > h.incarnation
	h.incarnation, h.sequence = a.Incarnation, a.Sequence
	h.group, h.fencing = a.Group, a.Fencing
	if h.first.incarnation == 0 {
		h.first = firstAnnouncement{a.Incarnation, a.Sequence, now}
	}
	h.observeLiveness(isAlive(s, p), restarted, p, now)
	switch {
	case !a.Leaving:
		h.leavingSince = time.Time{}
	case h.leavingSince.IsZero():
		h.leavingSince = now
	}
}

// isFirst reports whether the leader has received no newer announcement than the first one, which
// may be older than others under way.
func (h *host) isFirst() bool {
	return h.incarnation == h.first.incarnation && h.sequence == h.first.sequence
}

// observeLiveness records a failure when a live host goes silent or restarts. If a
// silent host restarts, its back-off starts then.
func (h *host) observeLiveness(alive, restarted bool, p *Policy, now time.Time) {
	switch {
	case h.alive && (restarted || !alive):
		h.recordFailure(p, now)
	case restarted:
		h.lastFailure = now
	}
	if !alive && (h.alive || h.deadSince.IsZero()) {
		h.deadSince = now
	}
	if alive && !restarted && !h.deadSince.IsZero() && h.failures < maxSilentFailures {
		h.returnedAt = now
	}
	if alive {
		h.deadSince = time.Time{}
	}
	if alive && (!h.alive || restarted) {
		h.aliveSince = now
	}
	h.alive = alive
}

func (h *host) recordFailure(p *Policy, now time.Time) {
	if now.Sub(h.lastFailure) > p.FailureResetAfter {
		h.failures = 0
	}
	h.failures++
	h.lastFailure = now
}

// backoffUntil is when the host may be used again.
func (h *host) backoffUntil(p *Policy) time.Time {
	if h.failures == 0 {
		return time.Time{}
	}
	backoff := p.BackoffBase
	for i := 1; i < h.failures && backoff < p.BackoffMax; i++ {
		backoff *= 2
	}
	return h.lastFailure.Add(min(backoff, p.BackoffMax))
}

func (m *Memory) observeAssignments(v *api.FleetView, now time.Time) {
	for _, h := range m.assigned {
		h.assign = nil
	}
	assigned := slices.Grow(m.assigned[:0:0], len(v.Assignments))
	if len(m.assigned) == len(v.Assignments) {
		assigned = m.assigned[:0]
	}
	for i := range v.Assignments {
		a := &v.Assignments[i]
		h := m.hostAt(m.assigned, i, a.Host)
		assigned = append(assigned, h)
		h.assign = a
		if a.Releasing && h.release.fencing != a.Fencing {
			h.release = releaseMemory{fencing: a.Fencing, seen: now}
		}
	}
	m.assigned = assigned
	for _, h := range m.shown {
		if h.assign != nil {
			h.freeSince = time.Time{}
		} else if h.freeSince.IsZero() {
			h.freeSince = now
		}
	}
}

func (m *Memory) observeGroups(v *api.FleetView, now time.Time) {
	for i := range v.Groups {
		g := &v.Groups[i]
		gm, ok := m.groups[g.ID]
		if !ok || gm.fencing != g.Fencing {
			gm = &groupMemory{fencing: g.Fencing, phase: g.Phase, phaseSince: now, loadSince: now}
			gm.announced = make([]bool, len(g.Members))
			gm.members = make([]*host, len(g.Members))
			for rank, id := range g.Members {
				gm.members[rank] = m.host(id)
			}
			m.groups[g.ID] = gm
		}
		if gm.phase != g.Phase {
			m.updateLoadTime(g, gm, now)
			gm.phase, gm.phaseSince = g.Phase, now
		}
		if g.Retiring && gm.retiringSince.IsZero() {
			gm.retiringSince = now
		}
		m.observeMembers(g, gm, now)
	}
	if len(m.groups) > len(v.Groups) || len(m.accounts) > len(v.Groups) {
		m.removeEndedGroups(v)
	}
}

// observeMembers records which members announced the group's generation, and their memberships.
func (m *Memory) observeMembers(g *api.Group, gm *groupMemory, now time.Time) {
	account := m.account(g.ID)
	for rank, h := range gm.members {
		if h.incarnation != 0 && h.group == g.ID && h.fencing == g.Fencing {
			gm.announced[rank] = true
		}
		account.member(h.id).observe(h, g.ID, now)
	}
}

// updateLoadTime maintains a moving average of a serving group's load time.
func (m *Memory) updateLoadTime(g *api.Group, gm *groupMemory, now time.Time) {
	if gm.phase != api.GroupLoading || g.Phase != api.GroupReady {
		return
	}
	elapsed := now.Sub(gm.loadSince)
	if old := m.loadTime[g.ServingGroup]; old > 0 {
		elapsed = (3*old + elapsed) / 4
	}
	m.loadTime[g.ServingGroup] = elapsed
}

func (m *Memory) removeEndedGroups(v *api.FleetView) {
	live := make(map[api.GroupID]bool, len(v.Groups))
	for i := range v.Groups {
		live[v.Groups[i].ID] = true
	}
	for id := range m.groups {
		if !live[id] {
			delete(m.groups, id)
		}
	}
	for id := range m.accounts {
		if !live[id] {
			delete(m.accounts, id)
			delete(m.formed, id)
		}
	}
}

func (m *Memory) observeDomains(v *api.FleetView, now time.Time) {
	for _, d := range v.Domains {
		if d.State != api.DomainDrained {
			delete(m.drained, d.Name)
			continue
		}
		if _, ok := m.drained[d.Name]; !ok {
			m.drained[d.Name] = now
		}
	}
}

func isAlive(s *api.HostStatus, p *Policy) bool {
	age := time.Duration(s.AgeMillis) * time.Millisecond
	return s.Alive && (p.DetectionBound <= 0 || age <= p.DetectionBound)
}
