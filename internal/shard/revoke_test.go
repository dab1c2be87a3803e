package shard

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
)

// borrow fills a core of two slots with requests of an account without a share.
func borrow(c *Core, revocable bool) []Decision {
	got := make([]Decision, 0, 2)
	for i := range uint64(2) {
		t := ticket(i+1, "big", 0, 0, time.Minute)
		t.Request.Revocable = revocable
		got = append(got, submit(c, t)...)
	}
	return got
}

func resumableGroup(capabilities api.Capabilities) *api.Group {
	g := warmGroup("g1", 2)
	g.Capabilities = capabilities
	return g
}

func TestShareClaimRevokesBorrowedGrant(t *testing.T) {
	c := openCore(resumableGroup(api.Capabilities{Resume: true, Cancel: true}))
	borrowed := borrow(c, true)
	require.Empty(t, submit(c, ticket(3, "quiet", 0, 1, time.Minute)))
	got := c.Revocations()
	require.Len(t, got, 1, "one claim revokes one grant")
	require.Equal(t, borrowed[1].Grant.ID, got[0].Grant.ID, "the grant issued last loses the least work")
	require.Empty(t, c.Revocations())
	c.Advance(testStart.Add(revokeRetryInterval), true)
	require.Len(t, c.Revocations(), 1, "revoked again while it is outstanding")
	c.Settle(testStart, api.SettleRequest{Grant: got[0].Grant, Outcome: api.OutcomeUnknown})
	next := c.Advance(testStart.Add(revokeRetryInterval), true)
	require.Len(t, next, 1)
	require.Equal(t, uint64(3), next[0].Ticket)
}

func TestNothingIsRevoked(t *testing.T) {
	all := api.Capabilities{Resume: true, Cancel: true}
	for _, tc := range []struct {
		name         string
		capabilities api.Capabilities
		revocable    bool
		share        int
	}{
		{"engine without resume", api.Capabilities{Cancel: true}, true, 1},
		{"engine without cancel", api.Capabilities{Resume: true}, true, 1},
		{"request that can't resume", all, false, 1},
		{"claim without a share", all, true, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := openCore(resumableGroup(tc.capabilities))
			borrow(c, tc.revocable)
			submit(c, ticket(3, "quiet", 5, tc.share, time.Minute))
			require.Empty(t, c.Revocations())
		})
	}
}

func TestResumedRequestIsNotRefusedByAFullQueue(t *testing.T) {
	c := openCore(warmGroup("g1", 1))
	c.settings.QueueLimit = 1
	submit(c, ticket(1, "a", 0, 0, time.Minute))
	submit(c, ticket(2, "a", 0, 0, time.Minute))
	require.Len(t, submit(c, ticket(3, "a", 0, 0, time.Minute)), 1, "a new request is refused")
	resumed := ticket(4, "a", 0, 0, time.Minute)
	resumed.Request.Resumed = true
	require.Empty(t, submit(c, resumed))
	require.Equal(t, uint64(4), c.queue.accounts["a"].tickets[0].ID)
}

func TestExpiredGrantStaysCountedUntilItsWorkIsStopped(t *testing.T) {
	c := openCore(warmGroup("g1", 1))
	held := submit(c, ticket(1, "a", 0, 0, time.Minute))[0].Grant
	c.Submit(ticket(2, "a", 0, 0, time.Hour))
	late := testStart.Add(c.settings.GrantLifetime + time.Millisecond)
	require.Empty(t, c.Advance(late, true))
	require.Len(t, c.Expired(), 1)
	require.Equal(t, []string{held.ID}, c.Report(late, api.ReportRequest{Entry: "e1", Incarnation: 1, Grants: []api.Grant{held}}))
	require.Empty(t, c.Advance(late.Add(stopRetryInterval+time.Millisecond), true))
	require.Len(t, c.Expired(), 1, "its work is stopped again")
	end := testStart.Add(c.settings.RequestTimeout)
	require.Len(t, c.Advance(end, true), 1, "no engine can be processing it any more")
}

func TestGrantsOfRestartedEntryExpire(t *testing.T) {
	c := openCore(warmGroup("g1", 1))
	first := ticket(1, "a", 0, 0, time.Minute)
	first.Request.Incarnation = 1
	held := submit(c, first)[0].Grant
	require.Empty(t, submit(c, ticket(2, "a", 0, 0, time.Minute)))
	c.Report(testStart, api.ReportRequest{Entry: "e1", Incarnation: 2})
	require.Empty(t, c.Advance(testStart, true))
	require.Equal(t, []api.Grant{held}, c.Expired(), "its work is stopped first")
	c.Settle(testStart, api.SettleRequest{Grant: held, Outcome: api.OutcomeUnknown})
	require.Len(t, c.Advance(testStart, true), 1)
}
