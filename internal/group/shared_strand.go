package group

import (
	"cmp"
	"slices"

	"github.com/crocusway/crocusway/internal/api"
)

// This file returns the survivors of large replicas to service. A replica of 16 hosts
// that loses one member without a spare strands the other 15. Spares are staged ahead,
// since members can be lost every few seconds, one by one, while the weights of a spare
// take longer than that to load.

// rescueGain is the minimum ratio of hosts that resume service to hosts that stop for
// them.
const rescueGain = 2

// spareHosts is the number of hosts that a fabric domain keeps free beside replicas
// that are much larger than others: members are mostly lost two at a time.
const spareHosts = 2

// largeSpares is the number of spares to keep beside replicas of a serving group.
func (l *layout) largeSpares(sg *servingGroup) int {
	for _, other := range l.sgs {
		if outweighs(sg, other) {
			return spareHosts
		}
	}
	return 0
}

// isOutweighed reports whether another serving group has much larger replicas.
func (l *layout) isOutweighed(sg *servingGroup) bool {
	return slices.ContainsFunc(l.sgs, func(other *servingGroup) bool { return outweighs(other, sg) })
}

// leavesReserve reports whether one more replica of a serving group leaves the spares
// of the larger replicas in a fabric domain.
func (l *layout) leavesReserve(f *fabric, sg *servingGroup) bool {
	if !l.isOutweighed(sg) {
		return true
	}
	reserve := 0
	for _, other := range l.sgs {
		if f.service == other.Service && other.byFabric[f.name] > 0 {
			reserve = max(reserve, l.largeSpares(other))
		}
	}
	return len(f.free)-sg.HostsPerReplica >= reserve
}

// bestSpare returns the serving group with the highest value of one more spare in a
// fabric domain, nil if none has a replica there.
func (l *layout) bestSpare(f *fabric, spares map[string]int) *servingGroup {
	var best *servingGroup
	var most float64
	for _, sg := range l.sgs {
		if value := l.spareValue(f, sg, spares[sg.Model]); value > most {
			best, most = sg, value
		}
	}
	return best
}

// spareValue is the value of one more spare of a serving group in a fabric domain: the
// hosts that it could replace times those that such a loss strands, divided by the
// square of the resulting number of spares.
func (l *layout) spareValue(f *fabric, sg *servingGroup, spares int) float64 {
	hosts := sg.byFabric[f.name] * sg.HostsPerReplica
	if sg.Service != f.service {
		return 0
	}
	return float64(hosts*max(1, sg.HostsPerReplica-1)) / float64((spares+1)*(spares+1))
}

// completeStranded gives stranded hosts the members that they lack: free hosts that
// hold other weights or none, or hosts of smaller replicas, which retire first.
func (l *layout) completeStranded() {
	for _, f := range l.fabrics {
		if f.service != l.sgs[0].Service {
			continue
		}
		sg, missing := l.stranded(f)
		if sg == nil || l.loading+missing > l.limit {
			continue
		}
		donors := l.donors(f, sg)
		if len(donors) < missing {
			l.retire(f, sg, missing-len(donors))
			continue
		}
		l.stage(f, sg, donors[:missing])
	}
}

// stranded returns the largest serving group of which the free hosts of a fabric
// domain lack less than half a replica, and how many hosts they lack.
func (l *layout) stranded(f *fabric) (*servingGroup, int) {
	var best *servingGroup
	lacks := 0
	spares := l.spares(f)
	for _, sg := range l.sgs {
		missing := sg.HostsPerReplica - spares[sg.Model]
		// Hosts whose release is not yet proven may make up for what is missing.
		if missing <= f.pending || 2*missing >= sg.HostsPerReplica {
			continue
		}
		if best == nil || sg.HostsPerReplica > best.HostsPerReplica {
			best, lacks = sg, missing
		}
	}
	return best, lacks
}

// donors lists the free hosts of a fabric domain that a serving group may take: those
// without weights first, then those with the weights of other models.
func (l *layout) donors(f *fabric, sg *servingGroup) []api.HostID {
	var out []api.HostID
	for _, id := range f.free {
		h := l.mem.hosts[id]
		if hasWeights(h, sg.Model) || isStaging(h, l.now) {
			continue
		}
		if l.mayDonate(h, sg) {
			out = append(out, id)
		}
	}
	slices.SortStableFunc(out, func(a, b api.HostID) int {
		return cmp.Compare(l.suitability(a, sg), l.suitability(b, sg))
	})
	return out
}

func (l *layout) mayDonate(h *host, sg *servingGroup) bool {
	for _, other := range l.sgs {
		if other != sg && hasWeights(h, other.Model) && !outweighs(sg, other) {
			return false
		}
	}
	return true
}

// outweighs reports whether one replica of sg is worth the loss of one of other.
func outweighs(sg, other *servingGroup) bool {
	return sg.HostsPerReplica >= rescueGain*other.HostsPerReplica
}

// isReserved reports whether a host loads the weights of a serving group that
// outweighs sg.
func (l *layout) isReserved(h *host, sg *servingGroup) bool {
	if !isStaging(h, l.now) {
		return false
	}
	for _, other := range l.sgs {
		if other.Model == h.order.model {
			return outweighs(other, sg)
		}
	}
	return false
}

// stage orders hosts to load the weights of a serving group and keeps them for it.
func (l *layout) stage(f *fabric, sg *servingGroup, hosts []api.HostID) {
	for _, id := range hosts {
		h := l.mem.hosts[id]
		l.loading++
		l.order(h, api.Order{Kind: api.OrderStage, Model: sg.Model, Incarnation: h.incarnation})
	}
	f.free = slices.DeleteFunc(f.free, func(id api.HostID) bool { return slices.Contains(hosts, id) })
}

// retire lets smaller replicas of a fabric domain finish their requests and end, no
// more than are needed for the given number of hosts. Their serving groups must have a
// higher share ratio than sg, and together they may have at most 1/rescueGain as many
// hosts as a replica of sg.
func (l *layout) retire(f *fabric, sg *servingGroup, hosts int) {
	if l.retiring(f) {
		return
	}
	var chosen []*replica
	lost := 0
	for _, other := range l.sgs {
		if !outweighs(sg, other) || l.shareRatio(other) <= l.shareRatio(sg) {
			continue
		}
		for _, r := range other.replicas {
			if lost < hosts && r.Fabric == f.name && r.Phase == api.GroupReady && !l.touched[r.ID] && l.intact(r) {
				chosen = append(chosen, r)
				lost += len(r.Members)
			}
		}
	}
	if lost < hosts || rescueGain*lost > sg.HostsPerReplica {
		return
	}
	for _, r := range chosen {
		g := *r.Group
		g.Retiring, g.Leaving = true, true
		l.change(api.GroupChange{Kind: api.GroupUpdate, Fencing: r.Fencing, Group: g}, ReasonRetiring)
		l.touched[r.ID] = true
	}
}

// retiring reports whether replicas of a fabric domain are retiring.
func (l *layout) retiring(f *fabric) bool {
	return slices.ContainsFunc(l.replicas, func(r *replica) bool { return r.Fabric == f.name && r.Retiring })
}
