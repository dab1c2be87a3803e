package group

import (
	"cmp"
	"maps"
	"slices"

	"github.com/crocusway/crocusway/internal/api"
)

// maxSearchFabrics bounds the fabric domains for which the layout of empty hosts is
// searched; with more of them, replicas are formed one by one.
const maxSearchFabrics = 16

// combination is a number of new replicas for each serving group in one fabric
// domain.
type combination []int

// formEmpty forms replicas in fabric domains whose free hosts hold no weights, as at
// the first start. Placed one by one, replicas would leave hosts unused in each
// domain; here the numbers for all domains are chosen together, once no new hosts
// appear. It reports whether it formed replicas or still waits for hosts.
func (l *layout) formEmpty() bool {
	var empty []*fabric
	for _, f := range l.fabrics {
		if f.service != l.sgs[0].Service || !l.isEmpty(f) {
			continue
		}
		if !l.fabricSettled(f) {
			return true
		}
		empty = append(empty, f)
	}
	if len(empty) < 2 || len(empty) > maxSearchFabrics || l.loading > 0 {
		return false
	}
	chosen := l.search(empty)
	for i, f := range l.spreadOut(empty, chosen) {
		for m, n := range chosen[i] {
			for range n {
				l.formIn(f, l.sgs[m])
			}
		}
	}
	return true
}

// isEmpty reports whether a fabric domain has room for a replica, and neither replicas
// nor free hosts with weights.
func (l *layout) isEmpty(f *fabric) bool {
	for _, id := range f.free {
		if l.mem.hosts[id].status.Announcement.Staged != "" {
			return false
		}
	}
	for _, sg := range l.sgs {
		if sg.byFabric[f.name] > 0 {
			return false
		}
	}
	return len(f.free) >= l.smallest()
}

func (l *layout) smallest() int {
	size := l.sgs[0].HostsPerReplica
	for _, sg := range l.sgs {
		size = min(size, sg.HostsPerReplica)
	}
	return size
}

// combinations lists the numbers of replicas that use as many of n hosts as
// possible: no further one fits beside them and the spares of large replicas.
func (l *layout) combinations(n int) []combination {
	var out []combination
	present := make(combination, len(l.sgs))
	var add func(m, left int)
	add = func(m, left int) {
		if m == len(l.sgs) {
			if l.isFull(present, left) {
				out = append(out, slices.Clone(present))
			}
			return
		}
		for k := 0; k*l.sgs[m].HostsPerReplica <= left; k++ {
			present[m] = k
			add(m+1, left-k*l.sgs[m].HostsPerReplica)
		}
		present[m] = 0
	}
	add(0, n)
	return out
}

// isFull reports whether replicas leave room for the spares of the large ones among
// them, and for no further replica.
func (l *layout) isFull(c combination, left int) bool {
	reserve, small := 0, 0
	for m, sg := range l.sgs {
		if c[m] > 0 {
			reserve = max(reserve, l.largeSpares(sg))
		}
		if l.isOutweighed(sg) {
			small += c[m]
		}
	}
	return left-reserve < l.smallest() && (left >= reserve || small == 0)
}

// searchState is one choice of combinations for the fabric domains so far, with its
// total numbers of replicas.
type searchState struct {
	counts combination
	// mixed is the number of domains with more than one serving group: replicas of
	// one serving group can share spares and survivors.
	mixed  int
	choice combination
	from   *searchState
}

// search chooses a combination for each fabric domain, so that the lowest share ratio
// of a serving group is as high as possible. Among equal choices, as few domains as
// possible hold replicas of several serving groups: survivors of a loss and spares can
// only join replicas of their own model.
func (l *layout) search(fabrics []*fabric) []combination {
	states := map[string]*searchState{"": {counts: make(combination, len(l.sgs))}}
	for _, f := range fabrics {
		next := make(map[string]*searchState)
		options := l.combinations(len(f.free))
		for _, key := range slices.Sorted(maps.Keys(states)) {
			for _, option := range options {
				r := states[key].with(option)
				name := r.counts.key()
				if old := next[name]; old == nil || r.mixed < old.mixed {
					next[name] = r
				}
			}
		}
		states = next
	}
	var best *searchState
	for _, key := range slices.Sorted(maps.Keys(states)) {
		if r := states[key]; best == nil || l.betterState(r, best) {
			best = r
		}
	}
	out := make([]combination, len(fabrics))
	for i := len(fabrics) - 1; i >= 0; i-- {
		out[i] = best.choice
		best = best.from
	}
	return out
}

func (r *searchState) with(option combination) *searchState {
	next := &searchState{counts: slices.Clone(r.counts), mixed: r.mixed, choice: option, from: r}
	kinds := 0
	for m, n := range option {
		next.counts[m] += n
		if n > 0 {
			kinds++
		}
	}
	if kinds > 1 {
		next.mixed++
	}
	return next
}

func (c combination) key() string {
	key := make([]byte, 0, 2*len(c))
	for _, n := range c {
		key = append(key, byte(n), byte(n>>8))
	}
	return string(key)
}

func (l *layout) betterState(a, b *searchState) bool {
	return cmp.Or(cmp.Compare(l.lowestShareRatio(b), l.lowestShareRatio(a)), cmp.Compare(a.mixed, b.mixed)) < 0
}

// lowestShareRatio is the share ratio of the serving group furthest below its share.
func (l *layout) lowestShareRatio(r *searchState) float64 {
	var lowest float64
	for m, sg := range l.sgs {
		ratio := float64((l.counted[sg]+r.counts[m])*sg.HostsPerReplica) / sg.Share
		if m == 0 || ratio < lowest {
			lowest = ratio
		}
	}
	return lowest
}

// spreadOut reorders the fabric domains so that the combinations, matched by position,
// place replicas of one serving group in different failure domains where possible.
func (l *layout) spreadOut(fabrics []*fabric, chosen []combination) []*fabric {
	left := slices.Clone(fabrics)
	held := make(map[api.FailureDomain]combination)
	for _, f := range fabrics {
		held[f.domain] = make(combination, len(l.sgs))
	}
	out := make([]*fabric, len(chosen))
	for i, c := range chosen {
		best := -1
		for j, f := range left {
			if len(f.free) != len(fabrics[i].free) {
				continue
			}
			if best < 0 || colocatedReplicas(held[f.domain], c) < colocatedReplicas(held[left[best].domain], c) {
				best = j
			}
		}
		f := left[best]
		out[i] = f
		for m, n := range c {
			held[f.domain][m] += n
		}
		left = slices.Delete(left, best, best+1)
	}
	return out
}

// colocatedReplicas counts the pairs of replicas of one serving group, of which one is
// in held and the other in c.
func colocatedReplicas(held, c combination) int {
	sum := 0
	for m, n := range c {
		sum += held[m] * n
	}
	return sum
}

// formIn forms a replica from the first free hosts of a fabric domain.
func (l *layout) formIn(f *fabric, sg *servingGroup) {
	hosts := slices.Clone(f.free[:sg.HostsPerReplica])
	l.formCandidate(candidate{sg: sg, fabric: f, hosts: hosts, loads: len(hosts)})
}
