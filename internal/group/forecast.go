package group

import (
	"slices"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// maxForecastRounds bounds the evaluations of one forecast.
const maxForecastRounds = 64

// Forecast lists the consequences that an intent has for the groups of a fleet:
// hosts moved, groups that stop, capacity left, what cannot be met and why, and
// how hosts of each serving group are reassigned.
func (r *Reconciler) Forecast(fleet api.FleetView, intent api.Intent) []api.Consequence {
	return Forecast(fleet, intent, r.cfg.Policy)
}

// Forecast simulates the planner on a copy of the fleet with the intent applied,
// assuming that orders and loads take no time and nothing fails.
func Forecast(fleet api.FleetView, intent api.Intent, p Policy) []api.Consequence {
	f := newForecast(fleet, intent, p)
	f.run()
	var out []api.Consequence
	out = append(out, f.stops()...)
	out = append(out, f.moves()...)
	out = append(out, f.capacity()...)
	out = append(out, f.unmet()...)
	return append(out, f.fencing(intent)...)
}

type forecast struct {
	policy Policy
	before api.FleetView
	after  api.FleetView
	now    time.Time
	// settled is set when the last evaluation changed nothing.
	settled bool
}

func newForecast(fleet api.FleetView, intent api.Intent, p Policy) *forecast {
	p.LoadRate, p.MaxLoads, p.MaxDomainLoads = 0, 0, 0
	p.Rebalance = false
	p.DrainHold, p.Hold, p.Grace, p.LeaveDrain, p.LeaveLimit, p.BackoffBase, p.BackoffMax = 0, 0, 0, 0, 0, 0, 0
	f := &forecast{policy: p, before: fleet, after: fleet, now: time.Unix(0, 0)}
	f.after.Groups = slices.Clone(fleet.Groups)
	f.after.Assignments = slices.Clone(fleet.Assignments)
	f.after.Hosts = slices.Clone(fleet.Hosts)
	f.applyIntent(intent)
	return f
}

func (f *forecast) applyIntent(in api.Intent) {
	sgName := func(s api.ServingGroup) api.ServingGroupName { return s.Name }
	f.after.ServingGroups = upsert(f.before.ServingGroups, in.ServingGroups, sgName)
	f.after.ServingGroups = slices.DeleteFunc(f.after.ServingGroups, func(s api.ServingGroup) bool {
		return slices.Contains(in.Remove.ServingGroups, s.Name)
	})
	f.after.Domains = upsert(f.before.Domains, in.Domains, func(d api.Domain) api.FailureDomain { return d.Name })
	if in.Weights != nil {
		f.after.Weights = *in.Weights
	}
}

func upsert[T any, K comparable](list, changes []T, key func(T) K) []T {
	out := slices.Clone(list)
	for _, c := range changes {
		i := slices.IndexFunc(out, func(t T) bool { return key(t) == key(c) })
		if i < 0 {
			out = append(out, c)
			continue
		}
		out[i] = c
	}
	return out
}

// run evaluates the fleet until a plan has no changes.
func (f *forecast) run() {
	mem := NewMemory()
	mem.assumesOrders = true
	for range maxForecastRounds {
		mem.Observe(&f.after, &f.policy, f.now)
		plan := Decide(f.after, mem, f.policy, f.now)
		f.settled = len(plan.Changes) == 0
		if f.settled {
			return
		}
		f.after.Revision++
		f.apply(plan.Changes)
		f.now = f.now.Add(f.policy.DetectionBound)
	}
}

// apply performs changes immediately, including what hosts would announce.
func (f *forecast) apply(changes []Change) {
	hosts := make(map[api.HostID]*api.HostStatus, len(f.after.Hosts))
	for i := range f.after.Hosts {
		hosts[f.after.Hosts[i].Announcement.Host] = &f.after.Hosts[i]
	}
	for i := range changes {
		g := changes[i].Group
		switch changes[i].Kind {
		case api.GroupForm, api.GroupReform:
			f.removeGroup(g.ID, hosts)
			f.addGroup(g, hosts)
		case api.GroupRelease:
			f.removeGroup(g.ID, hosts)
		case api.GroupFree:
			f.unassign(changes[i].Host)
		case api.GroupSetPhase, api.GroupUpdate:
			f.replaceGroup(g)
		}
	}
}

func (f *forecast) replaceGroup(g api.Group) {
	for i := range f.after.Groups {
		if f.after.Groups[i].ID == g.ID {
			f.after.Groups[i] = g
		}
	}
}

func (f *forecast) unassign(id api.HostID) {
	f.after.Assignments = slices.DeleteFunc(f.after.Assignments, func(a api.Assignment) bool { return a.Host == id })
}

func (f *forecast) removeGroup(id api.GroupID, hosts map[api.HostID]*api.HostStatus) {
	f.after.Groups = slices.DeleteFunc(f.after.Groups, func(g api.Group) bool { return g.ID == id })
	f.after.Assignments = slices.DeleteFunc(f.after.Assignments, func(a api.Assignment) bool { return a.Group == id })
	for _, h := range hosts {
		if h.Announcement.Group == id {
			h.Announcement.Group, h.Announcement.Fencing = "", 0
		}
	}
}

func (f *forecast) addGroup(g api.Group, hosts map[api.HostID]*api.HostStatus) {
	g.Fencing, g.Phase = api.Fencing(f.after.Revision), api.GroupReady
	f.after.Groups = append(f.after.Groups, g)
	for rank, id := range g.Members {
		f.after.Assignments = append(f.after.Assignments, api.Assignment{Host: id, Group: g.ID, Fencing: g.Fencing})
		h := hosts[id]
		if h == nil {
			continue
		}
		a := &h.Announcement
		a.Group, a.Fencing, a.Rank, a.Load = g.ID, g.Fencing, rank, api.LoadReady
	}
}
