package shard

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

var (
	testShard = api.ShardID{ServingGroup: "scribe", Domain: "east"}
	testStart = time.Unix(1_000_000, 0)
	oneEntry  = []api.EntryInfo{{ID: "e1", Incarnation: 1, Live: true}}
)

// warmGroup returns a ready, warm replica with a bearable load of n requests.
func warmGroup(id string, n int) *api.Group {
	return &api.Group{
		ID: api.GroupID(id), ServingGroup: "scribe", Domain: "east", Fencing: 7, Phase: api.GroupReady,
		Address: "127.0.0.1:1", Warm: true, BearableLoad: n, WarmLoad: n,
	}
}

// openCore returns a core whose handover has ended.
func openCore(groups ...*api.Group) *Core {
	c := NewCore(testShard, term{5, 1}, Settings{}, View{Groups: groups, Entries: oneEntry}, testStart)
	c.Report(testStart, api.ReportRequest{Entry: "e1", Incarnation: 1})
	c.Advance(testStart, true)
	return c
}

func ticket(id uint64, account string, class, share int, wait time.Duration) *Ticket {
	return &Ticket{
		ID: id, Class: class, Share: share, Received: testStart, Deadline: testStart.Add(wait),
		Request: api.AcquireRequest{Shard: testShard, Entry: "e1", Account: api.AccountID(account), Request: api.RequestID(fmt.Sprint(id))},
	}
}

func submit(c *Core, t *Ticket) []Decision {
	c.Submit(t)
	return c.Advance(testStart, true)
}

func TestSettleTwiceFreesOnce(t *testing.T) {
	c := openCore(warmGroup("g1", 1))
	first := submit(c, ticket(1, "a", 0, 0, time.Minute))
	require.Len(t, first, 1)
	require.Empty(t, submit(c, ticket(2, "a", 0, 0, time.Minute)))
	require.Empty(t, submit(c, ticket(3, "a", 0, 0, time.Minute)))
	s := api.SettleRequest{Grant: first[0].Grant, Outcome: api.OutcomeComplete}
	require.True(t, c.Settle(testStart, s))
	require.False(t, c.Settle(testStart, s))
	require.Len(t, c.Advance(testStart, true), 1)
}

func TestAccountBelowShareGoesFirst(t *testing.T) {
	c := openCore(warmGroup("g1", 1))
	held := submit(c, ticket(1, "big", 9, 0, time.Minute))
	submit(c, ticket(2, "big", 9, 0, time.Minute))
	submit(c, ticket(3, "quiet", 0, 1, time.Minute))
	c.Settle(testStart, api.SettleRequest{Grant: held[0].Grant, Outcome: api.OutcomeComplete})
	got := c.Advance(testStart, true)
	require.Len(t, got, 1)
	require.Equal(t, uint64(3), got[0].Ticket)
	require.Equal(t, priorityInShare, got[0].Grant.Priority)
}

func TestHigherClassGoesFirst(t *testing.T) {
	c := openCore(warmGroup("g1", 1))
	held := submit(c, ticket(1, "x", 0, 0, time.Minute))
	submit(c, ticket(2, "low", 1, 0, time.Minute))
	submit(c, ticket(3, "high", 2, 0, time.Minute))
	c.Settle(testStart, api.SettleRequest{Grant: held[0].Grant, Outcome: api.OutcomeComplete})
	require.Equal(t, uint64(3), c.Advance(testStart, true)[0].Ticket)
}

func TestNewOwnerWaitsForReports(t *testing.T) {
	entries := []api.EntryInfo{{ID: "e1", Incarnation: 1, Live: true}, {ID: "e2", Incarnation: 4}}
	c := NewCore(testShard, term{5, 1}, Settings{}, View{Groups: []*api.Group{warmGroup("g1", 2)}, Entries: entries}, testStart)
	old := api.Grant{ID: "3-1", Shard: testShard, Epoch: 3, Account: "a", Group: "g1", Fencing: 7}
	require.Empty(t, c.Report(testStart, api.ReportRequest{Entry: "e1", Incarnation: 1, Grants: []api.Grant{old}}))
	require.Empty(t, submit(c, ticket(1, "a", 0, 0, time.Minute)))
	late := testStart.Add(c.settings.handoverTimeout() + time.Millisecond)
	c.Report(late.Add(-time.Second), api.ReportRequest{Entry: "e1", Incarnation: 1, Grants: []api.Grant{old}})
	c.Submit(ticket(2, "a", 0, 0, time.Minute))
	require.Len(t, c.Advance(late, true), 1, "one of two slots is held by the reported grant")
}

func TestColdReplicaLimitGrowsWithCompletedWork(t *testing.T) {
	g := warmGroup("g1", 4)
	g.BearableLoad = 0
	g.Warm = false
	c := openCore(g)
	got := submit(c, ticket(1, "a", 0, 0, time.Minute))
	require.Len(t, got, 1)
	require.Empty(t, submit(c, ticket(2, "a", 0, 0, time.Minute)), "the limit of a cold replica without an announced load is one")
	c.Settle(testStart, api.SettleRequest{Grant: got[0].Grant, Outcome: api.OutcomeComplete})
	require.Len(t, c.Advance(testStart, true), 1)
	require.Len(t, submit(c, ticket(3, "a", 0, 0, time.Minute)), 1, "the limit is two after one completion")
}

func TestColdSignalDropsLimitAtOnce(t *testing.T) {
	c := openCore(warmGroup("g1", 8))
	cold := *warmGroup("g1", 8)
	cold.Warm, cold.BearableLoad = false, 2
	c.Update(View{Groups: []*api.Group{&cold}, Entries: oneEntry})
	granted := 0
	for i := range 8 {
		granted += len(submit(c, ticket(uint64(i+1), "a", 0, 0, time.Minute)))
	}
	require.Equal(t, 2, granted)
}

func TestRefusals(t *testing.T) {
	full := openCore(warmGroup("g1", 1))
	submit(full, ticket(1, "a", 0, 0, time.Minute))
	drained := openCore(warmGroup("g1", 1))
	drained.Update(View{Groups: []*api.Group{warmGroup("g1", 1)}, Drained: true, Entries: oneEntry})
	for _, tc := range []struct {
		name string
		core *Core
		wait time.Duration
		code errs.Code
	}{
		{"no wait on a full replica", full, 0, errs.Full},
		{"drained domain", drained, time.Minute, errs.Unavailable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := submit(tc.core, ticket(9, "a", 0, 0, tc.wait))
			require.Len(t, got, 1)
			require.Equal(t, tc.code, got[0].Err.Code)
		})
	}
}

func TestAloneRequestWaitsForIdleReplica(t *testing.T) {
	c := openCore(warmGroup("g1", 4))
	first := submit(c, ticket(1, "a", 0, 0, time.Minute))
	alone := ticket(2, "b", 0, 0, time.Minute)
	alone.Request.Alone = true
	require.Empty(t, submit(c, alone))
	require.Empty(t, submit(c, ticket(3, "a", 0, 0, time.Minute)), "the replica is reserved")
	c.Settle(testStart, api.SettleRequest{Grant: first[0].Grant, Outcome: api.OutcomeComplete})
	got := c.Advance(testStart, true)
	require.Len(t, got, 1)
	require.True(t, got[0].Grant.Alone)
}

func TestUnmeetableDeadlineIsRefused(t *testing.T) {
	c := openCore(warmGroup("g1", 1))
	c.service = 10 * time.Second
	submit(c, ticket(1, "a", 0, 0, time.Minute))
	require.Empty(t, submit(c, ticket(2, "a", 0, 0, time.Minute)))
	got := submit(c, ticket(3, "a", 0, 0, 15*time.Second))
	require.Len(t, got, 1)
	require.Equal(t, errs.Full, got[0].Err.Code)
	require.Equal(t, int64(5000), got[0].Err.RetryAfterMillis, "two tickets ahead take 20 s")
	require.Empty(t, submit(c, ticket(4, "quiet", 0, 1, time.Second)), "an account within its share is not refused")
	now := submit(c, ticket(5, "quiet", 0, 1, 0))
	require.Equal(t, int64(2), now[0].Err.RetryAfterMillis, "one ticket of its own account is ahead")
}

func TestFullQueueEvictsLowestPriority(t *testing.T) {
	c := openCore(warmGroup("g1", 1))
	c.settings.QueueLimit = 2
	for id := range uint64(3) {
		require.LessOrEqual(t, len(submit(c, ticket(id+1, "a", 0, 0, time.Minute))), 1)
	}
	got := submit(c, ticket(4, "quiet", 0, 1, time.Minute))
	require.Len(t, got, 1)
	require.Equal(t, uint64(3), got[0].Ticket, "the ticket with the lowest priority is evicted")
	require.Equal(t, errs.Full, got[0].Err.Code)
}

func TestWaitInOtherQueuesCounts(t *testing.T) {
	c := openCore(warmGroup("g1", 1))
	held := submit(c, ticket(1, "a", 0, 0, time.Minute))
	for id, waited := range map[uint64]time.Duration{2: 0, 3: 2 * time.Second, 4: time.Second} {
		next := ticket(id, "a", 0, 0, time.Minute)
		next.Since = testStart.Add(-waited)
		submit(c, next)
	}
	for _, want := range []uint64{3, 4, 2} {
		c.Settle(testStart, api.SettleRequest{Grant: held[0].Grant, Outcome: api.OutcomeComplete})
		held = c.Advance(testStart, true)
		require.Len(t, held, 1)
		require.Equal(t, want, held[0].Ticket)
	}
}
