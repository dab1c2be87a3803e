// Package measure samples the number of missing replicas and of idle hosts in a
// fleet. The leader samples views built from announcements; the experiments sample
// views of the actual state of the hosts.
package measure

import (
	"github.com/crocusway/crocusway/internal/api"
)

// Sample holds the counts from one view.
type Sample struct {
	// Down is the number of wanted replicas that are not serving.
	Down int
	// Stranded is the number of hosts that are idle because their group is
	// incomplete: alive hosts that were in a group with a missing member, have not
	// served since and are not loading in a complete group. It is at most the number
	// of hosts that the missing replicas need, less the hosts in loading groups.
	Stranded int
	// NotServing is the number of alive hosts that are not in a ready group, less
	// the spares. It is at most the number of hosts that the missing replicas need.
	NotServing int
}

// Meter samples views. A host that was released from an incomplete group still
// counts as stranded until it serves again or no replica is missing. The zero value
// is ready to use. It is not safe for concurrent use.
type Meter struct {
	// fromIncomplete holds the hosts of groups that were observed incomplete.
	fromIncomplete map[api.HostID]struct{}
}

// groupState is the state of a group, derived from its phase and its members.
type groupState uint8

const (
	// groupIncomplete means that a member is not alive or not in the group's
	// current generation.
	groupIncomplete groupState = iota
	groupLoading
	groupServing
)

// Observe samples a view.
func (m *Meter) Observe(v *api.FleetView) Sample {
	f := newFleet(v)
	down, hosts := f.missing()
	m.updateIncomplete(f, down)
	s := Sample{Down: down}
	if down == 0 {
		return s
	}
	s.NotServing = min(f.notServing(), hosts)
	s.Stranded = min(m.stranded(f), max(hosts-f.loading(), 0))
	return s
}

// updateIncomplete adds the hosts of incomplete groups and removes those that serve.
// It starts from an empty set when no replica is missing.
func (m *Meter) updateIncomplete(f *fleet, down int) {
	if down == 0 || m.fromIncomplete == nil {
		m.fromIncomplete = make(map[api.HostID]struct{})
	}
	for id, state := range f.groupStates {
		switch state {
		case groupIncomplete:
			m.fromIncomplete[id] = struct{}{}
		case groupServing:
			delete(m.fromIncomplete, id)
		case groupLoading:
		}
	}
}

func (m *Meter) stranded(f *fleet) int {
	n := 0
	for id := range m.fromIncomplete {
		state, member := f.groupStates[id]
		if f.alive[id] != nil && (!member || state == groupIncomplete) {
			n++
		}
	}
	return n
}
