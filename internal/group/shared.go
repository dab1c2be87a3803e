package group

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// This file plans the serving groups that share the hosts of an engine service
// (ServingGroup.Share above 0). Their engines open a replica by order, and a
// membership change costs little: a host that already holds the weights joins within
// seconds. A replica that lost a member is therefore released at once, and its
// survivors form the next replica together with any free hosts.

// evaluateShared updates the phase of a replica from the states of its members. A
// replica that can no longer serve is released.
func (pl *planner) evaluateShared(r *replica) {
	switch r.Phase {
	case api.GroupLoading:
		if r.count[memberReady] == len(r.Members) {
			pl.makeReady(r, ReasonAllReady)
			return
		}
		if r.retired || r.count[memberDead] > 0 || r.leaving > 0 || pl.overdue(r) || pl.anyMembershipLost(r) {
			pl.release(r, ReasonLost)
		}
	case api.GroupReady:
		switch {
		case !pl.intact(r):
			pl.release(r, ReasonLost)
		case r.sg == nil:
			pl.retireUnpublished(r)
		case r.retired:
			pl.release(r, ReasonRetired)
		case r.leaving > 0 && pl.leaveDrained(r) && !pl.isFinishing(r):
			pl.release(r, ReasonLeaving)
		case r.Retiring && pl.now.Sub(r.mem.retiringSince) >= pl.policy.LeaveDrain:
			pl.release(r, ReasonRetiring)
		default:
			pl.updateAttributes(r)
		}
	case api.GroupBroken:
		pl.release(r, ReasonLost)
	case api.GroupReleasing:
	}
}

// retireUnpublished lets a replica whose model or service is no longer published finish its
// requests, and then releases it. One of another size or model is released at once: what
// waits in its queue must not begin there.
func (pl *planner) retireUnpublished(r *replica) {
	switch {
	case !r.Retiring:
		g := *r.Group
		g.Retiring, g.Leaving = true, true
		pl.change(api.GroupChange{Kind: api.GroupUpdate, Fencing: r.Fencing, Group: g}, ReasonRetired)
		pl.touched[r.ID] = true
	case pl.now.Sub(r.mem.retiringSince) >= pl.policy.LeaveDrain && !pl.isFinishing(r):
		pl.release(r, ReasonRetired)
	}
}

// finishTime is the age of the newest answer from which a replica that takes nothing new
// counts as having ended its requests. Entries report every 0.4 s, and the events of a
// sound stream come some tenths of a second apart.
const finishTime = time.Second

// isFinishing reports whether a replica that takes nothing new still runs requests, which a
// release would cut off, and may go on with them.
func (pl *planner) isFinishing(r *replica) bool {
	p := pl.progress[r.ID]
	if p == nil || p.Stalled || p.AnsweredMillis < 0 || time.Duration(p.AnsweredMillis)*time.Millisecond > finishTime {
		return false
	}
	if r.Retiring && pl.now.Sub(r.mem.retiringSince) >= pl.policy.LeaveLimit {
		return false
	}
	for _, h := range r.mem.members {
		if !h.leavingSince.IsZero() && pl.now.Sub(h.leavingSince) >= pl.policy.LeaveLimit {
			return false
		}
	}
	return true
}

// releasedShared reports whether a host may join another replica: it has left the shared replica
// and stays out, or the head of that can't serve any more. A host that does not answer is of use
// nowhere, whether its head serves or not. One that has been lost for LostHostRetention is free.
func (pl *planner) releasedShared(a *api.Assignment) bool {
	h := pl.mem.hosts[a.Host]
	if h.status == nil || h.stale {
		return pl.now.Sub(h.release.seen) > pl.policy.LostHostRetention
	}
	if !isAlive(h.status, pl.policy) {
		return pl.now.Sub(h.deadSince) > pl.policy.LostHostRetention
	}
	if pl.mem.assumesOrders {
		return h.status.Announcement.Group != a.Group
	}
	r := pl.byID[a.Group]
	return pl.isAway(r, h) && !slices.Contains(pl.held[a.Host], r)
}

// isShared reports whether a replica belongs to a serving group that shares hosts.
// Its serving group may no longer be published; then the group's service shows it.
func (r *replica) isShared() bool {
	return r.sg != nil && r.sg.Share > 0 || r.sg == nil && r.Service != ""
}

// planOpens orders the heads of ready replicas to serve. Every member must currently
// announce itself as ready; an assumed one doesn't suffice.
func (pl *planner) planOpens() {
	for _, r := range pl.replicas {
		if r.Phase != api.GroupReady || pl.touched[r.ID] || r.count[memberReady] != len(r.Members) || r.assumed > 0 {
			continue
		}
		h := r.mem.members[0]
		if h.status.Announcement.Stage != api.StageReady || !pl.orderDue(h, api.OrderOpen, r.Fencing) {
			continue
		}
		pl.order(h, api.Order{Kind: api.OrderOpen, Group: r.ID, Fencing: r.Fencing, Incarnation: h.incarnation})
	}
}

// layout is the choice of new replicas for the serving groups of one service.
type layout struct {
	*planner
	sgs []*servingGroup
	// loading is the number of hosts that load weights from the store.
	loading int
	limit   int
}

// planLayouts forms replicas from free hosts, service by service.
func (pl *planner) planLayouts() {
	byService := make(map[string][]*servingGroup)
	var names []string
	for _, sg := range pl.sgs {
		if sg.Share <= 0 {
			continue
		}
		if byService[sg.Service] == nil {
			names = append(names, sg.Service)
		}
		byService[sg.Service] = append(byService[sg.Service], sg)
	}
	if len(names) > 0 {
		pl.plan.Idle = pl.describeIdle()
	}
	for _, name := range names {
		l := &layout{planner: pl, sgs: byService[name]}
		l.limit = l.loadLimit()
		l.loading = l.countLoading()
		l.formReplicas()
	}
}

// loadLimit is the number of hosts that may load at once: as many as load at full
// speed, or any number without traffic.
func (l *layout) loadLimit() int {
	if !l.view.Traffic {
		return math.MaxInt
	}
	limit := 0
	for _, sg := range l.sgs {
		limit = max(limit, sg.LoadsAtOnce)
	}
	if limit == 0 {
		return l.policy.MaxHostLoads
	}
	return limit
}

// describeIdle lists, for each fabric domain, the free hosts by the model that they
// hold, those whose release is not proven and those that are silent.
func (pl *planner) describeIdle() string {
	var b strings.Builder
	for _, f := range pl.fabrics {
		if f.service == "" || len(f.free)+f.pending+f.silent == 0 {
			continue
		}
		held := make(map[string]int)
		for _, id := range f.free {
			held[pl.mem.hosts[id].status.Announcement.Staged]++
		}
		fmt.Fprintf(&b, "%s:free=%v,releasing=%d,silent=%d ", f.name, held, f.pending, f.silent)
	}
	return b.String()
}

// countLoading counts the hosts that load weights for a replica or as a spare.
func (l *layout) countLoading() int {
	n := 0
	for _, r := range l.replicas {
		if r.sg == nil || r.Phase != api.GroupLoading {
			continue
		}
		for i, h := range r.mem.members {
			if r.states[i] != memberReady && !hasWeights(h, r.Model) {
				n++
			}
		}
	}
	for _, h := range l.mem.shown {
		if h.order.kind == api.OrderStage && !hasWeights(h, h.order.model) && l.now.Sub(h.order.sent) < stagingTimeout {
			n++
		}
	}
	return n
}

// stagingTimeout is how long a staging order counts as a load in progress.
const stagingTimeout = 20 * time.Second

func hasWeights(h *host, model string) bool {
	return h.status != nil && h.status.Announcement.HasStaged(model)
}

// candidate is one replica that free hosts could form.
type candidate struct {
	sg     *servingGroup
	fabric *fabric
	hosts  []api.HostID
	// loads is the number of those hosts without the weights.
	loads int
	// wasted is the number of hosts of the fabric domain that fit no replica
	// afterwards and did before.
	wasted int
	// spread is the number of replicas of the serving group in the failure domain.
	spread int
}

// formReplicas forms replicas while enough hosts are free. With traffic, only hosts
// that hold the weights are used; others are staged.
func (l *layout) formReplicas() {
	if !l.view.Traffic && l.formEmpty() {
		return
	}
	l.completeStranded()
	for {
		best, ok := l.best()
		if !ok {
			break
		}
		l.formCandidate(best)
	}
	l.stageSpares()
}

func (l *layout) best() (candidate, bool) {
	var best candidate
	found := false
	for _, sg := range l.sgs {
		for _, f := range l.fabrics {
			c, ok := l.candidate(sg, f)
			if ok && (!found || l.compare(&c, &best) < 0) {
				best, found = c, true
			}
		}
	}
	return best, found
}

// compare puts the better candidate first: the one with the smaller fraction of
// hosts that load, which serves sooner since loads are slow, then the one whose
// serving group is furthest below its share.
func (l *layout) compare(a, b *candidate) int {
	return cmp.Or(
		cmp.Compare(a.loads*b.sg.HostsPerReplica, b.loads*a.sg.HostsPerReplica),
		cmp.Compare(l.shareRatio(a.sg), l.shareRatio(b.sg)),
		cmp.Compare(a.wasted, b.wasted),
		cmp.Compare(a.spread, b.spread),
		cmp.Compare(a.sg.Name, b.sg.Name),
		cmp.Compare(a.fabric.name, b.fabric.name),
	)
}

// shareRatio is the number of hosts of a serving group divided by its share.
func (l *layout) shareRatio(sg *servingGroup) float64 {
	return float64(l.counted[sg]*sg.HostsPerReplica) / sg.Share
}

func (l *layout) candidate(sg *servingGroup, f *fabric) (candidate, bool) {
	size := sg.HostsPerReplica
	if f.service != sg.Service || len(f.free) < size || !l.leavesReserve(f, sg) {
		return candidate{}, false
	}
	hosts := slices.Clone(f.free)
	slices.SortStableFunc(hosts, func(a, b api.HostID) int {
		return cmp.Compare(l.suitability(a, sg), l.suitability(b, sg))
	})
	c := candidate{sg: sg, fabric: f, hosts: hosts[:size], spread: sg.byDomain[f.domain]}
	for _, id := range c.hosts {
		h := l.mem.hosts[id]
		if l.isReserved(h, sg) {
			return candidate{}, false
		}
		if hasWeights(h, sg.Model) {
			continue
		}
		if isStaging(h, l.now) {
			return candidate{}, false
		}
		if h.status.Announcement.Staged != "" && l.now.Sub(h.freeSince) < l.policy.ConvertAfter {
			// The host is kept for a replica of the model that it holds.
			return candidate{}, false
		}
		c.loads++
	}
	if c.loads > 0 && (l.view.Traffic || !l.fabricSettled(f)) {
		// With traffic, hosts are staged first, so that the others stay free meanwhile.
		// Without, more hosts may still announce themselves.
		return candidate{}, false
	}
	c.wasted = l.unused(len(f.free)-size) - l.unused(len(f.free))
	return c, true
}

// fabricSettled reports whether the fabric domain has gained no free host within
// SettleTime.
func (l *layout) fabricSettled(f *fabric) bool {
	for _, id := range f.free {
		if l.now.Sub(l.mem.hosts[id].freeSince) < l.policy.SettleTime {
			return false
		}
	}
	return true
}

// suitability ranks the hosts for a model: those with its weights, those without any,
// those with the weights of another one, then those that are reserved or loading.
func (l *layout) suitability(id api.HostID, sg *servingGroup) int {
	h := l.mem.hosts[id]
	switch {
	case l.isReserved(h, sg):
		return 3
	case hasWeights(h, sg.Model):
		return 0
	case isStaging(h, l.now):
		return 3
	case h.status.Announcement.Staged == "":
		return 1
	}
	return 2
}

// unused is the smallest number of n hosts that replicas of the service leave unused.
func (l *layout) unused(n int) int {
	fits := make([]bool, n+1)
	fits[0] = true
	used := 0
	for i := 1; i <= n; i++ {
		for _, sg := range l.sgs {
			if i >= sg.HostsPerReplica && fits[i-sg.HostsPerReplica] {
				fits[i], used = true, i
			}
		}
	}
	return n - used
}

func (l *layout) formCandidate(c candidate) {
	f, sg := c.fabric, c.sg
	f.free = slices.DeleteFunc(f.free, func(id api.HostID) bool { return slices.Contains(c.hosts, id) })
	sg.byDomain[f.domain]++
	sg.byFabric[f.name]++
	l.counted[sg]++
	l.loading += c.loads
	g := api.Group{
		ID:           l.newID(sg),
		ServingGroup: sg.Name,
		Service:      sg.Service,
		Model:        sg.Model,
		Fabric:       f.name,
		Domain:       f.domain,
		Members:      c.hosts,
		Phase:        api.GroupLoading,
	}
	l.addForm(g)
}

// addForm adds the change that forms a group.
func (l *layout) addForm(g api.Group) {
	l.plan.Changes = append(l.plan.Changes, Change{
		GroupChange: api.GroupChange{Kind: api.GroupForm, Group: g},
		Reason:      ReasonForm,
	})
}

// stageSpares loads weights onto free hosts that hold none or unused ones. While
// they load, the other hosts of their fabric domain stay free for any replica.
func (l *layout) stageSpares() {
	for _, f := range l.fabrics {
		if f.service != l.sgs[0].Service {
			continue
		}
		spares := l.spares(f)
		hosts := l.stageable(f)
		for i, id := range hosts {
			if l.loading >= l.limit {
				break
			}
			h := l.mem.hosts[id]
			l.countSpare(spares, h, -1)
			sg := l.nextToStage(f, spares, len(hosts)-i)
			if sg == nil || hasWeights(h, sg.Model) {
				l.countSpare(spares, h, 1)
				continue
			}
			l.loading++
			spares[sg.Model]++
			l.order(h, api.Order{Kind: api.OrderStage, Model: sg.Model, Incarnation: h.incarnation})
		}
	}
}

// stageable lists the free hosts of a fabric domain without weights, and those with
// unused ones.
func (l *layout) stageable(f *fabric) []api.HostID {
	var out []api.HostID
	for _, id := range f.free {
		h := l.mem.hosts[id]
		if !isStaging(h, l.now) && (h.status.Announcement.Staged == "" || l.hasUnusedWeights(f, h)) {
			out = append(out, id)
		}
	}
	return out
}

// hasUnusedWeights reports whether no replica is expected to use the weights of a free
// host: no host of its fabric domain is being released, loads the same weights, or
// holds them and became free within ConvertAfter.
func (l *layout) hasUnusedWeights(f *fabric, h *host) bool {
	if f.pending > 0 {
		return false
	}
	for _, id := range f.free {
		other := l.mem.hosts[id]
		for _, sg := range l.sgs {
			if !hasWeights(h, sg.Model) {
				continue
			}
			loads := isStaging(other, l.now) && other.order.model == sg.Model
			if loads || hasWeights(other, sg.Model) && l.now.Sub(other.freeSince) < l.policy.ConvertAfter {
				return false
			}
		}
	}
	return true
}

// nextToStage returns the serving group whose weights the next host loads: of those
// with a replica that the stageable hosts can complete, the one furthest below its
// share, else the one with the highest spare value, nil if the fabric domain needs
// none.
func (l *layout) nextToStage(f *fabric, spares map[string]int, available int) *servingGroup {
	var best *servingGroup
	for _, sg := range l.sgs {
		missing := sg.HostsPerReplica - spares[sg.Model]
		if missing > 0 && missing <= available && l.leavesReserve(f, sg) && (best == nil || l.shareRatio(sg) < l.shareRatio(best)) {
			best = sg
		}
	}
	if best != nil {
		return best
	}
	return l.bestSpare(f, spares)
}

// isStaging reports whether a host was ordered to load weights within stagingTimeout.
func isStaging(h *host, now time.Time) bool {
	return h.order.kind == api.OrderStage && now.Sub(h.order.sent) < stagingTimeout
}

// spares counts the free hosts of a fabric domain by the model that they hold or
// load.
func (l *layout) spares(f *fabric) map[string]int {
	out := make(map[string]int)
	for _, id := range f.free {
		h := l.mem.hosts[id]
		if isStaging(h, l.now) {
			out[h.order.model]++
			continue
		}
		l.countSpare(out, h, 1)
	}
	return out
}

// countSpare adds n to the spares of each model whose weights a host holds.
func (l *layout) countSpare(spares map[string]int, h *host, n int) {
	for _, sg := range l.sgs {
		if hasWeights(h, sg.Model) {
			spares[sg.Model] += n
		}
	}
}
