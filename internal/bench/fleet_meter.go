package bench

import (
	"slices"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// Names of the figures of the fleet experiments.
const (
	FigureDowntime   = "group downtime"
	FigureStranded   = "stranded accelerators"
	FigureIdle       = "accelerators not serving"
	FigureHostsMoved = "hosts moved"
	FigureLoads      = "loads started"
	FigureLongest    = "longest shortage"
)

// fleetMeter adds up the measures of a run.
type fleetMeter struct {
	// downtime is in replica-seconds, stranded and idle in host-seconds.
	downtime float64
	stranded float64
	idle     float64
	moved    int
	loads    int
	// shortage and longest are spans without every replica, in seconds.
	shortage float64
	longest  float64
}

// missing is the number of replicas that do not serve.
func (r *fleetRun) missing() int {
	replicas, _ := r.short()
	return replicas
}

// short returns the missing replicas and the hosts that they take.
func (r *fleetRun) short() (replicas, hosts int) {
	ready := make(map[api.ServingGroupName]int)
	for _, g := range r.store.groups {
		if g.Phase == api.GroupReady && r.serves(g) {
			ready[g.ServingGroup]++
		}
	}
	for _, sg := range r.store.ServingGroups {
		n := max(sg.Replicas-ready[sg.Name], 0)
		replicas += n
		hosts += n * sg.HostsPerReplica
	}
	return replicas, hosts
}

// serves reports whether every member can serve, detected or not, in a domain
// that takes work.
func (r *fleetRun) serves(g *api.Group) bool {
	if r.drained(g.Domain) {
		return false
	}
	now := r.model.Clock.Now()
	for _, id := range g.Members {
		h := r.model.Host(id)
		if h.Group != g.ID || h.Fencing != g.Fencing || !h.Serves(now) {
			return false
		}
	}
	return true
}

func (r *fleetRun) drained(d api.FailureDomain) bool {
	return slices.Contains(r.store.Domains, api.Domain{Name: d, State: api.DomainDrained})
}

// unused counts the running hosts of each fabric domain that do not serve: all
// of them, and those that do not load as members of a whole group either.
func (r *fleetRun) unused() (idle, stranded map[api.FabricDomain]int) {
	whole := make(map[api.HostID]api.GroupPhase)
	for _, g := range r.store.groups {
		if !r.whole(g) {
			continue
		}
		phase := g.Phase
		if phase == api.GroupReady && !r.serves(g) {
			phase = api.GroupLoading
		}
		for _, id := range g.Members {
			whole[id] = phase
		}
	}
	idle, stranded = make(map[api.FabricDomain]int), make(map[api.FabricDomain]int)
	for _, h := range r.model.Hosts {
		if !h.Up || h.Paused || r.drained(h.Domain) {
			continue
		}
		switch whole[h.ID] {
		case api.GroupReady:
		case api.GroupLoading:
			idle[h.Fabric]++
		default:
			idle[h.Fabric]++
			stranded[h.Fabric]++
		}
	}
	return idle, stranded
}

// whole reports whether every member runs and holds the group's generation.
func (r *fleetRun) whole(g *api.Group) bool {
	for _, id := range g.Members {
		h := r.model.Host(id)
		if !h.Up || h.Paused || h.Group != g.ID || h.Fencing != g.Fencing {
			return false
		}
	}
	return true
}

// measure adds one tick of length d. Not serving are running hosts beyond the
// spares of their fabric domain, at most as many as the missing replicas take.
// Stranded are those that do not load as members of a whole group either, at
// most as many as the missing replicas that nothing loads take.
func (r *fleetRun) measure(d time.Duration) {
	if r.onMeasure != nil {
		r.onMeasure(d)
	}
	replicas, hosts := r.short()
	seconds := d.Seconds()
	if replicas == 0 {
		r.meter.shortage = 0
		return
	}
	r.meter.downtime += float64(replicas) * seconds
	r.meter.shortage += seconds
	r.meter.longest = max(r.meter.longest, r.meter.shortage)
	idle, stranded := r.unused()
	loading := total(idle) - total(stranded)
	r.meter.idle += float64(min(r.beyondSpares(idle), hosts)) * seconds
	r.meter.stranded += float64(min(r.beyondSpares(stranded), max(hosts-loading, 0))) * seconds
}

func total(hosts map[api.FabricDomain]int) int {
	n := 0
	for _, count := range hosts {
		n += count
	}
	return n
}

func (r *fleetRun) beyondSpares(hosts map[api.FabricDomain]int) int {
	n := 0
	for f, count := range hosts {
		n += max(count-r.allowance[f], 0)
	}
	return n
}

// countMoves counts the hosts that join a group.
func (r *fleetRun) countMoves(c api.GroupChange) {
	if c.Kind != api.GroupForm && c.Kind != api.GroupReform {
		return
	}
	if c.Kind == api.GroupReform {
		r.reformed[c.Group.ID] = true
	}
	var old []api.HostID
	if g := r.store.Group(c.Group.ID); g != nil {
		old = g.Members
	}
	for _, id := range c.Group.Members {
		if !slices.Contains(old, id) {
			r.meter.moved++
		}
	}
}

func (r *fleetRun) figures() []Figure {
	return []Figure{
		{Name: FigureDowntime, Unit: "replica-seconds", Value: r.meter.downtime},
		{Name: FigureStranded, Unit: "host-seconds", Value: r.meter.stranded},
		{Name: FigureIdle, Unit: "host-seconds", Value: r.meter.idle},
		{Name: FigureHostsMoved, Unit: "hosts", Value: float64(r.meter.moved)},
		{Name: FigureLoads, Unit: "host loads", Value: float64(r.meter.loads + r.model.Loads)},
		{Name: FigureLongest, Unit: "seconds", Value: r.meter.longest},
	}
}
