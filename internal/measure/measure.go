// Package measure counts the missing replicas and the idle hosts of a fleet: it
// samples the first two measures of the product. The leader samples what hosts
// announce; the experiments sample what hosts do.
package measure

import (
	"github.com/crocusway/crocusway/internal/api"
)

// Sample is what one view shows.
type Sample struct {
	// Down is the number of wanted replicas that cannot serve.
	Down int
	// Stranded is the number of hosts that are idle because their group is
	// incomplete: alive hosts that a group with a missing member had and that
	// neither serve nor load in a whole group since. It is at most the number of
	// hosts that the replicas take for which no whole group loads.
	Stranded int
	// NotServing is the number of alive hosts in no serving group, beyond the
	// stated spares, at most as many as the missing replicas take.
	NotServing int
}

// Meter samples views. A host that was let go from an incomplete group goes on
// counting as stranded until it serves again or nothing is missing any more. The
// zero value is ready to use. It is not safe for concurrent use.
type Meter struct {
	// held are the hosts of groups that were seen incomplete.
	held map[api.HostID]struct{}
}

// groupState is what a group's members make of it.
type groupState uint8

const (
	// groupIncomplete lacks a member that holds its generation.
	groupIncomplete groupState = iota
	groupLoading
	groupServing
)

// Observe samples a view.
func (m *Meter) Observe(v *api.FleetView) Sample {
	f := newFleet(v)
	down, hosts := f.missing()
	m.mark(f, down)
	s := Sample{Down: down}
	if down == 0 {
		return s
	}
	s.NotServing = min(f.notServing(), hosts)
	s.Stranded = min(m.stranded(f), max(hosts-f.loading(), 0))
	return s
}

// mark remembers the hosts of incomplete groups and forgets those that serve.
func (m *Meter) mark(f *fleet, down int) {
	if down == 0 || m.held == nil {
		m.held = make(map[api.HostID]struct{})
	}
	for id, state := range f.member {
		switch state {
		case groupIncomplete:
			m.held[id] = struct{}{}
		case groupServing:
			delete(m.held, id)
		case groupLoading:
		}
	}
}

func (m *Meter) stranded(f *fleet) int {
	n := 0
	for id := range m.held {
		state, member := f.member[id]
		if f.alive[id] != nil && (!member || state == groupIncomplete) {
			n++
		}
	}
	return n
}
