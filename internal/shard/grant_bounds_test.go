package shard

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/entry"
)

// TestHandoverBoundsGrantsOfKilledOwner takes over a shard from a killed entry,
// which can't report its grants. The known bound limits how many it may hold,
// so that slots released by other entries are granted again immediately.
func TestHandoverBoundsGrantsOfKilledOwner(t *testing.T) {
	for _, tc := range []struct {
		name   string
		bounds map[api.GroupID]int
		grants int
	}{
		{"bound known", map[api.GroupID]int{"g1": 4}, 3},
		{"bound unknown", nil, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			entries := append([]api.EntryInfo{{ID: "killed", Incarnation: 1}}, oneEntry...)
			view := View{Groups: []*api.Group{warmGroup("g1", 4)}, Entries: entries, Bounds: tc.bounds}
			c := NewCore(testShard, term{5, 1}, Settings{}, view, testStart)
			report := api.ReportRequest{Entry: "e1", Incarnation: 1}
			for _, id := range []string{"3-1", "3-2", "3-3"} {
				report.Grants = append(report.Grants, api.Grant{ID: id, Shard: testShard, Epoch: 3, Account: "a", Group: "g1", Fencing: 7})
			}
			require.Empty(t, c.Report(testStart, report))
			for id := range uint64(4) {
				require.Empty(t, submit(c, ticket(id+1, "a", 0, 0, time.Hour)), "every slot may be in use")
			}
			granted := 0
			for _, g := range report.Grants {
				c.Settle(testStart, api.SettleRequest{Grant: g, Outcome: api.OutcomeComplete})
				c.Report(testStart, report)
				granted += len(c.Advance(testStart, true))
			}
			require.Equal(t, tc.grants, granted)
			late := testStart.Add(c.settings.handoverTimeout() + time.Millisecond)
			require.Len(t, c.Advance(late, true), 4-tc.grants, "no unreported grant is left")
		})
	}
}

// TestGrantBounds checks that a replica has a bound only after it was observed
// for long enough, and that a smaller limit does not lower the bound.
func TestGrantBounds(t *testing.T) {
	b := grantBounds{}
	timeout := Settings{}.withDefaults().handoverTimeout()
	g := warmGroup("g1", 8)
	boundsAt := func(at time.Duration) map[api.GroupID]int {
		now := testStart.Add(at)
		b.observe(now, entry.NewSnapshot(api.View{Groups: []api.Group{*g}}), 5)
		return b.bounds(now, []*api.Group{g}, timeout)
	}
	require.Empty(t, boundsAt(0))
	g.Warm, g.BearableLoad, g.WarmLoad = false, 1, 4
	require.Empty(t, boundsAt(timeout-time.Millisecond))
	require.Equal(t, map[api.GroupID]int{"g1": 8}, boundsAt(timeout))
	g.Fencing++
	require.Empty(t, boundsAt(2*timeout), "another generation")
	require.Equal(t, map[api.GroupID]int{"g1": 4}, boundsAt(3*timeout))
	b.observe(testStart, entry.NewSnapshot(api.View{}), 5)
	require.Empty(t, b)
}
