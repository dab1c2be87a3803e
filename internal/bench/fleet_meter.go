package bench

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/measure"
)

// Names of the figures of the fleet experiments.
const (
	FigureDowntime   = "group downtime"
	FigureUnmet      = "downtime for lack of hosts"
	FigureStranded   = "stranded accelerators"
	FigurePaused     = "stranded beside paused members"
	FigureUnused     = "idle beyond spares"
	FigureIdle       = "accelerators not serving"
	FigureHostsMoved = "hosts moved"
	FigureLoads      = "loads started"
	FigureLongest    = "longest shortage"
)

// fleetMeter adds up the measures of a run.
type fleetMeter struct {
	hosts measure.Meter
	// downtime and unmet are in replica-seconds; stranded, paused, unused and
	// idle are in host-seconds.
	downtime float64
	unmet    float64
	stranded float64
	paused   float64
	unused   float64
	idle     float64
	moved    int
	loads    int
	// shortage is the length of the current span with missing replicas and
	// longest that of the longest span, in seconds.
	shortage float64
	longest  float64
}

// missing returns the number of replicas that do not serve.
func (r *fleetRun) missing() int {
	replicas, _ := r.shortfall()
	return replicas
}

// shortfall returns the number of missing replicas and of the hosts that they
// need.
func (r *fleetRun) shortfall() (replicas, hosts int) {
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

// serves reports whether every member can serve and the group's domain is not
// drained, by the actual state of the hosts rather than their announcements.
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

// unused counts the running hosts of each fabric domain, except in drained
// failure domains, that do not serve (idle), and of these the ones that are not
// loading as members of a complete group either (unused).
func (r *fleetRun) unused() (idle, unused map[api.FabricDomain]int) {
	phases := make(map[api.HostID]api.GroupPhase)
	for _, g := range r.store.groups {
		if !r.isComplete(g) {
			continue
		}
		phase := g.Phase
		if phase == api.GroupReady && !r.serves(g) {
			phase = api.GroupLoading
		}
		for _, id := range g.Members {
			phases[id] = phase
		}
	}
	idle, unused = make(map[api.FabricDomain]int), make(map[api.FabricDomain]int)
	for _, h := range r.model.Hosts {
		if !h.Up || h.Paused || r.drained(h.Domain) {
			continue
		}
		switch phases[h.ID] {
		case api.GroupReady:
		case api.GroupLoading:
			idle[h.Fabric]++
		default:
			idle[h.Fabric]++
			unused[h.Fabric]++
		}
	}
	return idle, unused
}

// isComplete reports whether every member runs and is in the group's current
// generation.
func (r *fleetRun) isComplete(g *api.Group) bool {
	for _, id := range g.Members {
		h := r.model.Host(id)
		if !h.Up || h.Paused || h.Group != g.ID || h.Fencing != g.Fencing {
			return false
		}
	}
	return true
}

// measure adds one tick of length d. Stranded hosts are idle because their
// group is incomplete (package measure). Idle hosts are running hosts beyond
// the spares of their fabric domain that do not serve, at most as many as the
// missing replicas need. Unused hosts are those of them that are not loading as
// members of a complete group, even if an incomplete group has them, at most as
// many as the missing replicas need beyond the loading hosts.
func (r *fleetRun) measure(d time.Duration) {
	if r.onMeasure != nil {
		r.onMeasure(d)
	}
	replicas, hosts := r.shortfall()
	view := r.actualView()
	stranded := r.meter.hosts.Observe(&view).Stranded
	seconds := d.Seconds()
	if replicas == 0 {
		r.meter.shortage = 0
		return
	}
	r.meter.downtime += float64(replicas) * seconds
	r.meter.shortage += seconds
	r.meter.longest = max(r.meter.longest, r.meter.shortage)
	r.meter.unmet += float64(r.unmet()) * seconds
	r.meter.stranded += float64(stranded) * seconds
	r.meter.paused += float64(min(r.blockedByPause(), stranded)) * seconds
	idle, unused := r.unused()
	loading := total(idle) - total(unused)
	r.meter.idle += float64(min(r.beyondSpares(idle), hosts)) * seconds
	r.meter.unused += float64(min(r.beyondSpares(unused), max(hosts-loading, 0))) * seconds
}

// unmet returns the number of replicas that no planner can serve: those for
// which the running hosts do not suffice even if all replicas are placed again,
// larger ones first.
func (r *fleetRun) unmet() int {
	running := make(map[api.FabricDomain]int)
	for _, h := range r.model.Hosts {
		if h.Up && !h.Paused && !r.drained(h.Domain) {
			running[h.Fabric]++
		}
	}
	sgs := slices.Clone(r.store.ServingGroups)
	slices.SortFunc(sgs, func(a, b api.ServingGroup) int { return cmp.Compare(b.HostsPerReplica, a.HostsPerReplica) })
	unmet := 0
	for _, sg := range sgs {
		wanted := sg.Replicas
		for f, n := range running {
			placed := min(n/sg.HostsPerReplica, wanted)
			running[f] -= placed * sg.HostsPerReplica
			wanted -= placed
		}
		unmet += wanted
	}
	return unmet
}

// actualView returns the fleet by the actual state of the hosts, announced or
// not.
func (r *fleetRun) actualView() api.FleetView {
	v := api.FleetView{
		ServingGroups: r.store.ServingGroups,
		Domains:       r.store.Domains,
		Groups:        r.store.Groups(),
		Assignments:   r.store.Assignments(),
		Hosts:         make([]api.HostStatus, 0, len(r.model.Hosts)),
	}
	for _, h := range r.model.Hosts {
		a := api.Announcement{
			Host: h.ID, Kind: api.BackendEngine, Fabric: h.Fabric, Domain: h.Domain, Group: h.Group, Fencing: h.Fencing,
		}
		v.Hosts = append(v.Hosts, api.HostStatus{Announcement: a, Alive: h.Up && !h.Paused})
	}
	return v
}

// blockedByPause counts the running members of groups whose other members are
// only paused. No planner can make them serve before the pause or a reload
// ends.
func (r *fleetRun) blockedByPause() int {
	n := 0
	for _, g := range r.store.groups {
		running, paused := 0, 0
		for _, id := range g.Members {
			h := r.model.Host(id)
			switch {
			case h.Group != g.ID || h.Fencing != g.Fencing:
			case h.Paused:
				paused++
			default:
				running++
			}
		}
		if paused > 0 && running+paused == len(g.Members) {
			n += running
		}
	}
	return n
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
		n += max(count-r.spareHosts[f], 0)
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
		{Name: FigureUnmet, Unit: "replica-seconds", Value: r.meter.unmet},
		{Name: FigureStranded, Unit: "host-seconds", Value: r.meter.stranded},
		{Name: FigurePaused, Unit: "host-seconds", Value: r.meter.paused},
		{Name: FigureUnused, Unit: "host-seconds", Value: r.meter.unused},
		{Name: FigureIdle, Unit: "host-seconds", Value: r.meter.idle},
		{Name: FigureHostsMoved, Unit: "hosts", Value: float64(r.meter.moved)},
		{Name: FigureLoads, Unit: "host loads", Value: float64(r.meter.loads + r.model.Loads)},
		{Name: FigureLongest, Unit: "seconds", Value: r.meter.longest},
	}
}
