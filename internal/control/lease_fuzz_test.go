package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/crocusway/crocusway/internal/api"
)

// simEntry is an entry that follows the protocol: it counts its lease from when
// it sent the renewal and applies views of increasing revisions only.
type simEntry struct {
	info    api.EntryInfo
	view    api.View
	until   time.Time
	leaving bool
	// pending are answers that have not been received yet.
	pending []simAnswer
	// fromReceipt is a fault: the lease counts from receipt of the answer.
	fromReceipt bool
}

type simAnswer struct {
	sent     time.Time
	response api.RenewResponse
}

func (e *simEntry) mayWork(now time.Time) bool { return !e.leaving && now.Before(e.until) }

func (e *simEntry) owns(id api.ShardID) bool {
	for _, lease := range e.view.Shards {
		if lease.Shard == id && lease.Owner == e.info.ID {
			return true
		}
	}
	return false
}

// leaseSim is a cluster with entries on one logical clock.
type leaseSim struct {
	*fixture
	entries []*simEntry
	// reportedInForce is the highest revision that a decision reported as in
	// force.
	reportedInForce api.Revision
	// freezeSeconds is longer than the longest work lease.
	freezeSeconds int
	// stretches adds changes of the lease length to the drawn events.
	stretches bool
}

func newLeaseSim(t require.TestingT, entries int, options ...option) *leaseSim {
	s := &leaseSim{fixture: newFixture(options...), freezeSeconds: 4}
	for i := range entries {
		id := api.EntryID(fmt.Sprintf("e%d", i+1))
		s.entries = append(s.entries, &simEntry{info: entryInfo(id, 1)})
	}
	seed := api.Intent{ServingGroups: []api.ServingGroup{servingGroup("sg1"), servingGroup("sg2")}}
	s.configure(t, seed)
	for i, sg := range []api.ServingGroupName{"sg1", "sg2"} {
		_, err := s.service().ChangeGroup(ctx, api.GroupChange{Kind: api.GroupForm, Group: api.Group{
			ServingGroup: sg, Domain: "cairo", Members: []api.HostID{api.HostID(fmt.Sprintf("h%d", i))},
		}})
		require.NoError(t, err)
	}
	return s
}

// send requests a renewal; the answer is received later.
func (s *leaseSim) send(e *simEntry) {
	info := e.info
	info.Leaving = e.leaving
	sent := s.clock.Now()
	r, err := s.service().renew(ctx, api.RenewRequest{Entry: info, Applied: e.view.Revision})
	if err == nil {
		e.pending = append(e.pending, simAnswer{sent: sent, response: r})
	}
}

// receive delivers the oldest answer.
func (s *leaseSim) receive(e *simEntry) {
	if len(e.pending) == 0 {
		return
	}
	answer := e.pending[0]
	e.pending = e.pending[1:]
	from := answer.sent
	if e.fromReceipt {
		from = s.clock.Now()
	}
	if until := from.Add(time.Duration(answer.response.LeaseMillis) * time.Millisecond); until.After(e.until) {
		e.until = until
	}
}

// watch applies the newest view.
func (s *leaseSim) watch(e *simEntry) error {
	r, err := s.service().watch(ctx, api.WatchRequest{Entry: e.info.ID, From: e.view.Revision})
	if err != nil {
		return nil
	}
	view, err := ApplyUpdate(e.view, r.Update)
	if err != nil {
		return nil
	}
	if view.Revision < e.view.Revision {
		return fmt.Errorf("entry %s went from revision %d to %d", e.info.ID, e.view.Revision, view.Revision)
	}
	e.view = view
	return nil
}

// restart begins a new incarnation of an entry with no state.
func (s *leaseSim) restart(e *simEntry) {
	info := e.info
	info.Incarnation++
	*e = simEntry{info: info, fromReceipt: e.fromReceipt}
}

// confirm changes the configuration and records whether it is in force.
func (s *leaseSim) confirm(share int) {
	in := api.Intent{Accounts: []api.Account{{ID: "a", Share: share, KeyHashes: []string{digest}}}}
	planned, err := s.service().plan(ctx, api.PlanRequest{Operator: "amal", Intent: in})
	if err != nil {
		return
	}
	s.decide(planned.Plan.ID)
}

func (s *leaseSim) decide(plan api.PlanID) {
	r, err := s.service().decide(noWait(), api.DecideRequest{Operator: "amal", Plan: plan, Confirm: true})
	if err == nil && r.InForce {
		s.reportedInForce = max(s.reportedInForce, r.Plan.Decided)
	}
}

// resendConfirmations resends every confirmation.
func (s *leaseSim) resendConfirmations() {
	for _, plan := range s.state().plans.list() {
		if plan.State == api.PlanConfirmed {
			s.decide(plan.ID)
		}
	}
}

// check returns a violation of the guarantees of leases.
func (s *leaseSim) check() error {
	now := s.clock.Now()
	owners := make(map[api.ShardID]api.EntryID)
	for _, e := range s.entries {
		if !e.mayWork(now) {
			continue
		}
		if e.view.Revision < s.reportedInForce {
			return fmt.Errorf("entry %s works at revision %d, in force is %d", e.info.ID, e.view.Revision, s.reportedInForce)
		}
		for _, sg := range []api.ServingGroupName{"sg1", "sg2"} {
			id := api.ShardID{ServingGroup: sg, Domain: "cairo"}
			if !e.owns(id) {
				continue
			}
			if other, ok := owners[id]; ok {
				return fmt.Errorf("entries %s and %s both own shard %s", other, e.info.ID, id)
			}
			owners[id] = e.info.ID
		}
	}
	return nil
}

// keepAlive does what a healthy entry does each second.
func (s *leaseSim) keepAlive(e *simEntry) error {
	err := s.watch(e)
	s.send(e)
	s.receive(e)
	return err
}

// freeze stops one entry for longer than its lease while the others continue.
func (s *leaseSim) freeze(frozen *simEntry) error {
	for range s.freezeSeconds {
		s.advance(time.Second)
		for _, e := range s.entries {
			if e == frozen {
				continue
			}
			if err := s.keepAlive(e); err != nil {
				return err
			}
		}
	}
	return s.check()
}

// runLeases runs drawn events and returns the first violation.
func runLeases(t *rapid.T, s *leaseSim) error {
	for _, e := range s.entries {
		if err := s.keepAlive(e); err != nil {
			return err
		}
	}
	for step := range rapid.IntRange(1, 120).Draw(t, "steps") {
		if err := s.event(t, step); err != nil {
			return err
		}
		if err := s.check(); err != nil {
			return err
		}
	}
	return nil
}

// stretch makes the leader grant longer or shorter leases. An entry that still
// holds a long lease renews it, loses the answer and falls silent, while the
// others continue and the operator resends the confirmations.
func (s *leaseSim) stretch(t *rapid.T, e *simEntry, step int) error {
	entries := rapid.SampledFrom([]int{1, 2, 100}).Draw(t, "step of entries")
	for _, service := range s.services {
		service.cfg.StretchEntries = entries
	}
	s.advance(time.Second)
	s.send(e)
	e.pending = nil
	s.confirm(step)
	for range rapid.IntRange(1, 8).Draw(t, "seconds") {
		s.advance(time.Second)
		for _, other := range s.entries {
			if other == e {
				continue
			}
			if err := s.keepAlive(other); err != nil {
				return err
			}
		}
		s.resendConfirmations()
		if err := s.check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *leaseSim) event(t *rapid.T, step int) error {
	e := rapid.SampledFrom(s.entries).Draw(t, "entry")
	if s.stretches && rapid.IntRange(0, 9).Draw(t, "stretch") == 0 {
		return s.stretch(t, e, step)
	}
	switch rapid.IntRange(0, 17).Draw(t, "event") {
	case 0, 1, 2:
		return s.keepAlive(e)
	case 3, 4:
		s.send(e)
	case 5, 6:
		s.receive(e)
	case 7:
		return s.watch(e)
	case 8:
		return s.freeze(e)
	case 9:
		// The entry resumes and renews before it watches.
		err := s.freeze(e)
		s.send(e)
		s.receive(e)
		return err
	case 10:
		s.confirm(step)
	case 11:
		s.confirm(step)
		err := s.freeze(e)
		s.resendConfirmations()
		return err
	case 12:
		s.elect(rapid.IntRange(0, 2).Draw(t, "leader"))
	case 13:
		s.setFaults(rapid.Bool().Draw(t, "lose"), rapid.IntRange(0, 3).Draw(t, "cut") == 0)
	case 14:
		s.setFaults(false, false)
	case 15:
		s.leaveOrRestart(t, e)
	default:
		s.advance(time.Duration(rapid.IntRange(1, 1500).Draw(t, "millis")) * time.Millisecond)
	}
	return nil
}

func (s *leaseSim) leaveOrRestart(t *rapid.T, e *simEntry) {
	switch rapid.IntRange(0, 3).Draw(t, "end") {
	case 0:
		e.leaving = true
	case 1:
		s.restart(e)
	}
}

func TestLeasesHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { require.NoError(t, runLeases(t, newLeaseSim(t, 3))) })
}

// newStretchSim is a cluster whose leases get longer with each entry.
func newStretchSim(t require.TestingT) *leaseSim {
	s := newLeaseSim(t, 3, func(c *Config) { c.StretchEntries = 1 })
	s.freezeSeconds = 10
	s.stretches = true
	return s
}

func TestStretchedLeasesHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { require.NoError(t, runLeases(t, newStretchSim(t))) })
}
