package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
)

// The live entries reach a new leader a little later than the detection bound.
// Their hosts must not count as lost; hosts that no entry announces do, once
// every entry has renewed or lost its lease.
func TestNewLeaderAppliesAnnounceGrace(t *testing.T) {
	f := newFixture()
	seedServingGroups(t, f.state())
	for _, s := range f.states[1:] {
		seedServingGroups(t, s)
	}
	require.NoError(t, f.renew("e1", 1))
	group := api.Group{ServingGroup: "sg1", Members: []api.HostID{"h1"}}
	change := &groupCommand{Change: api.GroupChange{Kind: api.GroupForm, Group: group}}
	_, err := propose[api.GroupChangeResult](ctx, f.service(), change)
	require.NoError(t, err)

	f.elect(1)
	f.advance(0)
	f.advance(DefaultDetectionBound + 100*time.Millisecond)
	status, err := f.service().status(ctx, api.Empty{})
	require.NoError(t, err)
	require.Len(t, status.Hosts, 1)
	require.True(t, status.Hosts[0].Alive)
	f.advance(DefaultLeaseDuration + DefaultDriftMargin)
	status, err = f.service().status(ctx, api.Empty{})
	require.NoError(t, err)
	require.False(t, status.Hosts[0].Alive)
}

// TestHostsReturnToNewLeader guards against a new leader that does not take back hosts that it
// counted as lost, or takes the reports of another leader's session for its own.
func TestHostsReturnToNewLeader(t *testing.T) {
	f := newFixture()
	require.NoError(t, f.renew("e1", 1))
	a := api.Announcement{
		Version: api.AnnouncementVersion, Host: "h1", Incarnation: 1, Kind: api.BackendService, Service: "ledger",
		Sequence: 1, Address: "127.0.0.1:7000", Domain: "cairo", Slots: 2,
	}
	send := func(b api.AnnounceBatch) uint64 {
		b.Entry, b.Incarnation = "e1", 1
		response, err := f.service().announce(ctx, b)
		require.NoError(t, err)
		return response.Session
	}
	whole := func(session, slot uint64) api.AnnounceBatch {
		a.Sequence++
		return api.AnnounceBatch{Session: session, Announcements: []api.Announcement{a}, Slots: []uint64{slot}}
	}
	slot := api.EncodeSlots([]uint64{1})
	old := send(whole(0, 1))
	require.Equal(t, old, send(api.AnnounceBatch{Session: old, Heartbeats: slot}))
	f.advance(0)
	require.Len(t, f.state().servers.list(), 1)

	f.elect(1)
	f.advance(0)
	session := send(api.AnnounceBatch{Session: old, Heartbeats: slot, Silent: slot})
	require.NotEqual(t, old, session)
	f.advance(DefaultDetectionBound + 100*time.Millisecond)
	require.Len(t, f.state().servers.list(), 1, "a report to another leader says nothing")
	f.advance(DefaultLeaseDuration + DefaultDriftMargin)
	require.Empty(t, f.state().servers.list())

	require.Zero(t, send(api.AnnounceBatch{Session: session, Heartbeats: slot}), "this leader does not know the slot")
	require.Equal(t, session, send(whole(session, 2)))
	require.True(t, f.hostAlive(t, "h1"))
	f.advance(0)
	require.Len(t, f.state().servers.list(), 1)
}
