package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

// A busy leader misses its lease repeatedly within one term. The state of its
// leadership is kept, and the time in which calls were refused does not count
// as silence of hosts and entries.
func TestLeaderLeaseGapKeepsLeadership(t *testing.T) {
	f := newFixture()
	require.NoError(t, f.renew("e1", 1))
	f.announce(t, "h1")
	lead := f.service().leading.Load()
	for range 5 {
		f.advance(DefaultDetectionBound / 2)
		f.setLeaseLost(true)
		f.advance(DefaultDetectionBound)
		_, err := f.service().status(noWait(), api.Empty{})
		requireCode(t, errs.NotLeader, err)
		require.False(t, f.service().Leading())
		f.setLeaseLost(false)
		f.advance(0)
		require.True(t, f.hostAlive(t, "h1"))
		require.NoError(t, f.renew("e1", 1))
		f.announce(t, "h1")
	}
	require.Same(t, lead, f.service().leading.Load())
	require.NoError(t, lead.ctx.Err())
	f.advance(2 * DefaultDetectionBound)
	require.False(t, f.hostAlive(t, "h1"), "silence counts while the lease is held")
}

// A call that arrives while the leader lease is lost is answered once the lease
// is regained, and refused after leaseGapWait.
func TestCallsWaitForLeaderLease(t *testing.T) {
	for _, c := range []struct {
		name  string
		after time.Duration
		code  errs.Code
	}{
		{"short", leaseGapWait / 2, ""},
		{"long", 2 * leaseGapWait, errs.NotLeader},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture()
			require.NoError(t, f.renew("e1", 1))
			f.setLeaseLost(true)
			f.advance(0)
			answered := make(chan error, 1)
			go func() { answered <- f.renew("e1", 1) }()
			require.Never(t, func() bool { return len(answered) > 0 }, 20*time.Millisecond, time.Millisecond)
			f.clock.Advance(c.after)
			f.setLeaseLost(c.code != "")
			require.Eventually(t, func() bool { f.advance(0); return len(answered) > 0 }, 10*time.Second, time.Millisecond)
			if err := <-answered; c.code == "" {
				require.NoError(t, err)
			} else {
				requireCode(t, c.code, err)
			}
		})
	}
}

// An entry that could not renew because the leader was without its lease stays
// live.
func TestLeaderLeaseGapExtendsWorkLeases(t *testing.T) {
	f := newFixture()
	require.NoError(t, f.renew("e1", 1))
	f.setLeaseLost(true)
	f.advance(2 * DefaultLeaseDuration)
	f.setLeaseLost(false)
	f.advance(0)
	require.True(t, f.service().isLive("e1"))
	f.advance(DefaultLeaseDuration + DefaultDriftMargin)
	require.False(t, f.service().isLive("e1"))
}

// The state of a leadership is dropped when another voter has led since.
func TestNewTermEndsLeadership(t *testing.T) {
	f := newFixture()
	f.announce(t, "h1")
	old := f.service().leading.Load()
	first := f.service()
	f.setLeaseLost(true)
	f.advance(time.Second)
	f.setLeaseLost(false)
	f.elect(1)
	f.advance(0)
	require.Error(t, old.ctx.Err())
	require.Nil(t, first.leading.Load())
	f.elect(0)
	f.advance(0)
	require.NotSame(t, old, first.leading.Load())
	_, known := first.leading.Load().hosts.get("h1")
	require.False(t, known)
}

// announce sends a newer announcement of a backend server of a plain service.
func (f *fixture) announce(t *testing.T, host api.HostID) {
	t.Helper()
	a := api.Announcement{
		Version: api.AnnouncementVersion, Host: host, Incarnation: 1, Kind: api.BackendService, Service: "ledger",
		Sequence: uint64(f.clock.Now().UnixMilli()), Address: "127.0.0.1:7000", Domain: "cairo", Slots: 2,
	}
	batch := api.AnnounceBatch{Entry: "e1", Incarnation: 1, Announcements: []api.Announcement{a}}
	response, err := f.service().announce(ctx, batch)
	require.NoError(t, err)
	require.Equal(t, 1, response.Accepted)
}

func (f *fixture) hostAlive(t *testing.T, host api.HostID) bool {
	t.Helper()
	status, err := f.service().status(ctx, api.Empty{})
	require.NoError(t, err)
	for _, h := range status.Hosts {
		if h.Announcement.Host == host {
			return h.Alive
		}
	}
	return false
}
