package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

// TestLapsedLeaseKeepsTheLeadership lets a busy leader miss its lease again and
// again within one term. What it knows of hosts and entries stays, and nobody
// counts as silent for the time in which calls were turned away.
func TestLapsedLeaseKeepsTheLeadership(t *testing.T) {
	f := newFixture()
	require.NoError(t, f.renew("e1", 1))
	f.announce(t, "h1")
	lead := f.service().leading.Load()
	for range 5 {
		f.advance(DefaultDetectionBound / 2)
		f.setLapsed(true)
		f.advance(DefaultDetectionBound)
		_, err := f.service().status(noWait(), api.Empty{})
		requireCode(t, errs.NotLeader, err)
		require.False(t, f.service().Leading())
		f.setLapsed(false)
		f.advance(0)
		require.True(t, f.hostAlive(t, "h1"))
		require.NoError(t, f.renew("e1", 1))
		f.announce(t, "h1")
	}
	require.Same(t, lead, f.service().leading.Load())
	require.NoError(t, lead.ctx.Err())
	f.advance(2 * DefaultDetectionBound)
	require.False(t, f.hostAlive(t, "h1"), "silence counts while the lease holds")
}

// TestCallsWaitOutAShortLapse lets a call arrive while the lease is lapsed. It is
// answered once the lease is back, and refused after lapseWait.
func TestCallsWaitOutAShortLapse(t *testing.T) {
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
			f.setLapsed(true)
			f.advance(0)
			answered := make(chan error, 1)
			go func() { answered <- f.renew("e1", 1) }()
			require.Never(t, func() bool { return len(answered) > 0 }, 20*time.Millisecond, time.Millisecond)
			f.clock.Advance(c.after)
			f.setLapsed(c.code != "")
			require.Eventually(t, func() bool { f.advance(0); return len(answered) > 0 }, 10*time.Second, time.Millisecond)
			if err := <-answered; c.code == "" {
				require.NoError(t, err)
			} else {
				requireCode(t, c.code, err)
			}
		})
	}
}

// TestLapseProlongsLeases keeps an entry live that could not renew.
func TestLapseProlongsLeases(t *testing.T) {
	f := newFixture()
	require.NoError(t, f.renew("e1", 1))
	f.setLapsed(true)
	f.advance(2 * DefaultLeaseDuration)
	f.setLapsed(false)
	f.advance(0)
	require.True(t, f.service().isLive("e1"))
	f.advance(DefaultLeaseDuration + DefaultDriftMargin)
	require.False(t, f.service().isLive("e1"))
}

// TestAnotherTermEndsTheLeadership lets another voter lead in between.
func TestAnotherTermEndsTheLeadership(t *testing.T) {
	f := newFixture()
	f.announce(t, "h1")
	old := f.service().leading.Load()
	first := f.service()
	f.setLapsed(true)
	f.advance(time.Second)
	f.setLapsed(false)
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

// announce takes a newer announcement of a plain server.
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
