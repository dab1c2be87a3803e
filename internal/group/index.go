package group

import (
	"slices"
	"strings"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// fabric collects the free hosts of one fabric domain.
type fabric struct {
	name   api.FabricDomain
	domain api.FailureDomain
	// free are usable hosts without an assignment, sorted by name.
	free []api.HostID
	// pending is the number of usable hosts whose release is not yet proven.
	pending int
	// reserve is the number of free hosts to keep as spares.
	reserve int
	// silent is the number of hosts without a recent announcement.
	silent int
	// returnedAt is when one of the hosts was last heard again after it had gone silent.
	returnedAt time.Time
	// service is the engine service of the hosts, empty if they serve any model.
	service string
}

// memberState is the state of a member relative to its group's generation.
type memberState uint8

const (
	// memberUnknown has sent this leader no current announcement yet.
	memberUnknown memberState = iota
	memberReady
	memberLoading
	// memberBehind is alive and holds no membership, another one or a broken one.
	memberBehind
	memberDead
)

// String returns the name of the state for the log.
func (s memberState) String() string {
	return [...]string{"unknown", "ready", "loading", "behind", "dead"}[s]
}

// replica is one group of the view with the state of its members.
type replica struct {
	*api.Group
	sg      *servingGroup
	mem     *groupMemory
	account *replicaAccount
	states  []memberState
	count   [memberDead + 1]int
	// leaving is the number of members that announced that they leave.
	leaving int
	// assumed is the number of silent members that recent answers prove to work.
	assumed int
	// retired is set when the group no longer matches the configuration: a
	// removed serving group, a drained or excluded domain, another model or size.
	retired bool
}

// servingGroup is one serving group with its replicas.
type servingGroup struct {
	*api.ServingGroup
	replicas []*replica
	byDomain map[api.FailureDomain]int
	// byFabric counts the replicas in each fabric domain.
	byFabric map[api.FabricDomain]int
	// releasing is the number of groups being released.
	releasing int
}

// loadBytes is the size of one whole replica's weights, in bytes.
func (s *servingGroup) loadBytes() int64 { return s.LoadBytes * int64(s.HostsPerReplica) }

// importance is the weight of one replica, at least 1.
func (s *servingGroup) importance() float64 { return float64(max(s.Importance, 1)) }

// allows reports whether the serving group may be placed in a domain.
func (s *servingGroup) allows(d api.FailureDomain) bool {
	return len(s.Domains) == 0 || slices.Contains(s.Domains, d)
}

// index joins the parts of a view for one evaluation.
type index struct {
	view    *api.FleetView
	mem     *Memory
	policy  *Policy
	weights api.Weights
	now     time.Time

	replicas []*replica
	byID     map[api.GroupID]*replica
	sgs      []*servingGroup
	sgByName map[api.ServingGroupName]*servingGroup
	// largest is the greatest number of hosts that a replica takes.
	largest  int
	fabrics  []*fabric
	byFabric map[api.FabricDomain]*fabric
	drained  map[api.FailureDomain]bool
	// held lists the released replicas in which a host may still be a member, and whose head may
	// still serve.
	held map[api.HostID][]*replica
	// progress is what entries report of each group, for its current generation.
	progress map[api.GroupID]*api.GroupProgress
}

func newIndex(v *api.FleetView, m *Memory, p *Policy, now time.Time) *index {
	x := &index{view: v, mem: m, policy: p, weights: p.weights(v), now: now}
	x.drained = drainedDomains(v.Domains)
	x.progress = make(map[api.GroupID]*api.GroupProgress, len(v.Progress))
	for i := range v.Progress {
		x.progress[v.Progress[i].Group] = &v.Progress[i]
	}
	x.indexServingGroups()
	x.indexReplicas()
	x.indexHeld()
	x.indexFabrics()
	return x
}

func (x *index) indexServingGroups() {
	x.sgByName = make(map[api.ServingGroupName]*servingGroup, len(x.view.ServingGroups))
	for i := range x.view.ServingGroups {
		sg := &servingGroup{ServingGroup: &x.view.ServingGroups[i]}
		sg.byDomain = make(map[api.FailureDomain]int)
		sg.byFabric = make(map[api.FabricDomain]int)
		x.sgs = append(x.sgs, sg)
		x.sgByName[sg.Name] = sg
		x.largest = max(x.largest, sg.HostsPerReplica)
	}
	slices.SortFunc(x.sgs, func(a, b *servingGroup) int {
		return strings.Compare(string(a.Name), string(b.Name))
	})
}

func (x *index) indexReplicas() {
	x.byID = make(map[api.GroupID]*replica, len(x.view.Groups))
	x.replicas = make([]*replica, 0, len(x.view.Groups))
	for i := range x.view.Groups {
		r := x.newReplica(&x.view.Groups[i])
		x.replicas = append(x.replicas, r)
		x.byID[r.ID] = r
	}
	slices.SortFunc(x.replicas, func(a, b *replica) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	for _, r := range x.replicas {
		if r.sg == nil {
			continue
		}
		if r.Phase == api.GroupReleasing {
			r.sg.releasing++
			continue
		}
		r.sg.replicas = append(r.sg.replicas, r)
		r.sg.byFabric[r.Fabric]++
		if !r.retired {
			r.sg.byDomain[r.Domain]++
		}
	}
}

func (x *index) newReplica(g *api.Group) *replica {
	r := &replica{Group: g, sg: x.sgByName[g.ServingGroup], mem: x.mem.groups[g.ID], account: x.mem.account(g.ID)}
	r.states = make([]memberState, len(g.Members))
	for rank, h := range r.mem.members {
		state := x.memberState(g, h)
		if state == memberDead && r.mem.announced[rank] && x.isAnswering(g) {
			state = memberReady
			r.assumed++
		}
		r.states[rank] = state
		r.count[state]++
		if h.status != nil && h.status.Announcement.Leaving {
			r.leaving++
		}
	}
	if r.isShared() {
		// A drained failure domain gets no requests; its replicas stay until it is
		// active again.
		r.retired = r.sg == nil || r.sg.Model != g.Model || r.sg.HostsPerReplica != len(g.Members)
		return r
	}
	r.retired = r.sg == nil || x.drained[g.Domain] || !r.sg.allows(g.Domain) ||
		r.sg.Model != g.Model || r.sg.HostsPerReplica != len(g.Members)
	return r
}

// isAnswering reports whether a replica answered within AnswerBound, or within
// StalledSilence while requests on it are silent: a slow replica pauses as well. An answer
// needs every member, even one whose announcements do not reach control.
func (x *index) isAnswering(g *api.Group) bool {
	p := x.progress[g.ID]
	if p == nil || p.AnsweredMillis < 0 {
		return false
	}
	bound := x.policy.AnswerBound
	if p.Stalled {
		bound = min(bound, x.policy.StalledSilence)
	}
	return time.Duration(p.AnsweredMillis)*time.Millisecond <= bound
}

// isSilent reports whether a member of a group counts as lost. The bound is
// IdleSilence for an engine service in a drained domain, and shorter for a member
// of a stalled replica.
func (x *index) isSilent(g *api.Group, h *host) bool {
	if x.drained[g.Domain] && g.Service != "" {
		return time.Duration(h.status.AgeMillis)*time.Millisecond > x.policy.IdleSilence
	}
	if !isAlive(h.status, x.policy) {
		return true
	}
	p := x.progress[g.ID]
	if p == nil || !p.Stalled || x.policy.StalledSilence == 0 {
		return false
	}
	if h.status.AssumedMillis > 0 {
		return time.Duration(h.status.AssumedMillis)*time.Millisecond > 2*x.policy.StalledSilence
	}
	return time.Duration(h.status.AgeMillis)*time.Millisecond > x.policy.StalledSilence
}

func (x *index) memberState(g *api.Group, h *host) memberState {
	if h.status == nil {
		return x.absentState(h)
	}
	if h.stale {
		return memberUnknown
	}
	if x.isSilent(g, h) {
		return memberDead
	}
	a := &h.status.Announcement
	if a.Group != g.ID || a.Fencing != g.Fencing {
		if g.Phase == api.GroupReady && x.isUnconfirmed(g, h) {
			return memberUnknown
		}
		return memberBehind
	}
	if a.Stage == api.StageBroken {
		return memberBehind
	}
	if a.Load == api.LoadReady {
		return memberReady
	}
	return memberLoading
}

// isUnconfirmed reports whether an announcement that contradicts the log may be older than the
// membership: a new leader takes the first one that arrives, which is not always the newest.
func (x *index) isUnconfirmed(g *api.Group, h *host) bool {
	return x.mem.account(g.ID).inherited && h.isFirst() && x.now.Sub(h.first.at) <= x.policy.DetectionBound
}

// absentState is the state of a member that the view does not show: a new leader
// receives the announcements of the hosts one by one.
func (x *index) absentState(h *host) memberState {
	lastSeen := x.mem.started
	if h.seen.After(lastSeen) {
		lastSeen = h.seen
	}
	if x.now.Sub(lastSeen) <= 2*x.policy.DetectionBound {
		return memberUnknown
	}
	return memberDead
}

func (x *index) indexFabrics() {
	x.byFabric = make(map[api.FabricDomain]*fabric)
	for _, h := range x.mem.shown {
		a := &h.status.Announcement
		if a.Kind != api.BackendEngine {
			continue
		}
		f := x.fabric(a.Fabric, a.Domain)
		f.service = a.Service
		if h.returnedAt.After(f.returnedAt) {
			f.returnedAt = h.returnedAt
		}
		switch {
		case a.Domain != f.domain:
		case !h.stale && !isAlive(h.status, x.policy):
			f.silent++
		case h.assign != nil && !h.assign.Releasing:
		case !x.usable(h):
		case h.assign == nil:
			f.free = append(f.free, a.Host)
		default:
			f.pending++
		}
	}
	slices.SortFunc(x.fabrics, func(a, b *fabric) int {
		return strings.Compare(string(a.name), string(b.name))
	})
	for _, f := range x.fabrics {
		slices.Sort(f.free)
	}
	x.setReserves()
}

func (x *index) fabric(name api.FabricDomain, d api.FailureDomain) *fabric {
	f, ok := x.byFabric[name]
	if !ok {
		f = &fabric{name: name, domain: d}
		x.byFabric[name] = f
		x.fabrics = append(x.fabrics, f)
	}
	return f
}

// setReserves adds up, for each fabric domain, the spares of the serving groups
// that hold a replica there.
func (x *index) setReserves() {
	for _, sg := range x.sgs {
		for name := range sg.byFabric {
			if f, ok := x.byFabric[name]; ok {
				f.reserve += sg.Spares
			}
		}
	}
}

// usable reports whether a host could join a group now if it were free. A host
// that does not check fencing must also announce that it holds no membership.
func (x *index) usable(h *host) bool {
	if h.status == nil || h.stale || !isAlive(h.status, x.policy) {
		return false
	}
	a := &h.status.Announcement
	if a.Kind != api.BackendEngine || a.Leaving || a.Service == "" && x.drained[a.Domain] {
		return false
	}
	if h.assign == nil && (a.Group != "" && !a.ChecksFencing || len(x.held[h.id]) > 0) {
		return false
	}
	return !x.now.Before(h.backoffUntil(x.policy))
}
