package control

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/crocusway/crocusway/internal/api"
)

// apply encodes a command and runs it on a state.
func apply(t require.TestingT, s *State, cmd command, unixMillis int64) any {
	data, err := encodeCommand(cmd, unixMillis)
	require.NoError(t, err)
	return s.Apply(0, data)
}

// seedServingGroups confirms the serving groups that groups may be formed of.
func seedServingGroups(t require.TestingT, s *State) {
	in := api.Intent{ServingGroups: []api.ServingGroup{servingGroup("sg1"), servingGroup("sg2")}}
	plan, ok := apply(t, s, &planCommand{Operator: "amal", Intent: in, Limit: 8}, 0).(api.Plan)
	require.True(t, ok)
	apply(t, s, &decideCommand{Operator: "amal", Plan: plan.ID, Confirm: true}, 0)
}

// hostOracle tracks which hosts are assigned to a group, from the change that
// assigned them until the change that freed them.
type hostOracle struct {
	held      map[api.HostID]api.GroupID
	releasing map[api.HostID]bool
	fencing   api.Fencing
}

func newHostOracle() *hostOracle {
	return &hostOracle{held: map[api.HostID]api.GroupID{}, releasing: map[api.HostID]bool{}}
}

// observe checks an accepted change.
func (o *hostOracle) observe(c api.GroupChange, r api.GroupChangeResult) error {
	switch c.Kind {
	case api.GroupForm, api.GroupReform:
		if r.Group.Fencing <= o.fencing {
			return fmt.Errorf("fencing number %d after %d", r.Group.Fencing, o.fencing)
		}
		return o.bind(r.Group)
	case api.GroupRelease:
		for host, id := range o.held {
			if id == r.Group.ID {
				o.releasing[host] = true
			}
		}
		o.fencing = r.Group.Fencing
	case api.GroupFree:
		if !o.releasing[c.Host] {
			return fmt.Errorf("host %s was freed as a member", c.Host)
		}
		delete(o.held, c.Host)
		delete(o.releasing, c.Host)
	}
	return nil
}

func (o *hostOracle) bind(g api.Group) error {
	o.fencing = g.Fencing
	for host, id := range o.held {
		if id == g.ID && !slices.Contains(g.Members, host) {
			o.releasing[host] = true
		}
	}
	for _, host := range g.Members {
		if id, ok := o.held[host]; ok && (id != g.ID || o.releasing[host]) {
			return fmt.Errorf("host %s is in groups %s and %s", host, id, g.ID)
		}
		o.held[host] = g.ID
	}
	return nil
}

// checkServing verifies that the groups agree with the assignments.
func checkServing(f api.FleetView) error {
	bound := make(map[api.HostID]api.Assignment)
	for _, a := range f.Assignments {
		bound[a.Host] = a
	}
	for _, g := range f.Groups {
		for _, host := range g.Members {
			a, ok := bound[host]
			if g.Phase == api.GroupReleasing && (!ok || a.Group != g.ID) {
				continue
			}
			if a.Group != g.ID || a.Fencing != g.Fencing || a.Releasing != (g.Phase == api.GroupReleasing) {
				return fmt.Errorf("group %s at %d, but host %s has %+v", g.ID, g.Fencing, host, a)
			}
		}
	}
	return nil
}

// runHosts applies drawn group changes and returns the first violation.
func runHosts(t *rapid.T, s *State) error {
	seedServingGroups(t, s)
	oracle := newHostOracle()
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		change := drawGroupChange(t, s)
		result, ok := apply(t, s, &groupCommand{Change: change}, 0).(api.GroupChangeResult)
		if !ok {
			continue
		}
		if err := oracle.observe(change, result); err != nil {
			return err
		}
		if err := checkServing(s.Fleet()); err != nil {
			return err
		}
	}
	return nil
}

func TestNoHostInTwoGroups(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { require.NoError(t, runHosts(t, NewState())) })
}

func TestHostCheckerCatchesMissingFreeCheck(t *testing.T) {
	s := NewState()
	s.guards.free = func(*tx, []api.HostID) error { return nil }
	seedServingGroups(t, s)
	oracle := newHostOracle()
	var violation error
	for _, id := range []api.GroupID{"g1", "g2"} {
		change := api.GroupChange{Kind: api.GroupForm, Group: api.Group{ID: id, ServingGroup: "sg1", Members: []api.HostID{"h1"}}}
		result, ok := apply(t, s, &groupCommand{Change: change}, 0).(api.GroupChangeResult)
		require.True(t, ok)
		violation = oracle.observe(change, result)
	}
	require.ErrorContains(t, violation, "is in groups")
	require.Error(t, checkServing(s.Fleet()))
}

func TestHostFuzzFindsBrokenVariants(t *testing.T) {
	found := 0
	rapid.Check(t, func(t *rapid.T) {
		s := NewState()
		s.guards.free = func(*tx, []api.HostID) error { return nil }
		if runHosts(t, s) != nil {
			found++
		}
	})
	require.NotZero(t, found)
	t.Logf("found in %d cases", found)
}

// Two states that apply the same commands are equal, even if one of them is
// restored from a snapshot in between; deltas from every revision lead to the
// full view.
func TestStatesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := NewState(), NewState()
		seedServingGroups(t, a)
		seedServingGroups(t, b)
		views := []api.View{{}, a.View()}
		now := int64(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += rapid.Int64Range(-100, 800).Draw(t, "millis")
			cmd := drawCommand(t, a)
			require.Equal(t, fmt.Sprint(apply(t, a, cmd, now)), fmt.Sprint(apply(t, b, cmd, now)))
			if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
				b = restored(t, b)
			}
			if view := a.View(); view.Revision != views[len(views)-1].Revision {
				require.Equal(t, views[len(views)-1].Revision+1, view.Revision)
				views = append(views, view)
			}
			require.NoError(t, checkServing(a.Fleet()))
		}
		require.Equal(t, snapshot(t, a), snapshot(t, b))
		for _, view := range views {
			updated, err := ApplyUpdate(view, a.Update(view.Revision))
			require.NoError(t, err)
			require.Equal(t, a.View(), updated)
		}
	})
}

func snapshot(t require.TestingT, s *State) []byte {
	data, err := s.Snapshot()
	require.NoError(t, err)
	return data
}

func restored(t require.TestingT, s *State) *State {
	data := snapshot(t, s)
	out := NewState()
	require.NoError(t, out.Restore(data))
	require.Equal(t, data, snapshot(t, out))
	return out
}

func TestUpdateRefusesLowerRevision(t *testing.T) {
	view := api.View{Revision: 5}
	for name, u := range map[string]api.ViewUpdate{
		"full below":        {To: 4, Full: true},
		"delta below":       {From: 3, To: 4},
		"starts elsewhere":  {From: 4, To: 6},
		"starts in advance": {From: 6, To: 7},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := ApplyUpdate(view, u)
			require.Error(t, err)
			require.Equal(t, view, got)
		})
	}
}

func TestUpdateIsFullBeyondTheRing(t *testing.T) {
	s := NewState()
	s.changes = newChangeRing(4, firstRevision)
	for i := range 10 {
		apply(t, s, &serversCommand{Put: []api.ServiceServer{{Host: "s1", Leaving: i%2 == 0}}}, 0)
	}
	require.Equal(t, api.Revision(11), s.Revision())
	require.True(t, s.Update(6).Full)
	require.False(t, s.Update(7).Full)
	require.True(t, s.Update(12).Full, "a revision that this state has not reached")
	require.True(t, s.Update(0).Full)
}
