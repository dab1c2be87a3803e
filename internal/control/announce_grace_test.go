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
