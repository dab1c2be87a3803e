package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
)

func TestMeasuresCoverTheLastHour(t *testing.T) {
	m := newMeasures(start)
	now := start
	// Two replicas are down, and one host of three is left to the first.
	fleet := &api.FleetView{
		ServingGroups: []api.ServingGroup{{Name: "a", Replicas: 2, HostsPerReplica: 3}},
		Groups: []api.Group{
			{ID: "g1", ServingGroup: "a", Fabric: "f1", Phase: api.GroupBroken, Members: []api.HostID{"h1", "h2", "h3"}},
		},
		Assignments: []api.Assignment{{Host: "h1"}, {Host: "h2"}, {Host: "h3"}},
		Hosts: []api.HostStatus{{
			Announcement: api.Announcement{Host: "h1", Fabric: "f1", Kind: api.BackendEngine, Group: "g1"},
			Alive:        true,
		}},
	}
	for range 7200 {
		now = now.Add(time.Second)
		m.sample(now, fleet)
	}
	status := m.status(now)
	require.InDelta(t, 2*3600, status.GroupDowntime, 2*60)
	require.InDelta(t, 3600, status.Stranded, 60)
	fleet.ServingGroups[0].Replicas = 1
	require.InDelta(t, 3600, status.NotServing, 60)
	m.sample(now.Add(time.Hour), fleet)
	status = m.status(now.Add(time.Hour))
	require.Equal(t, maxSampleGap.Seconds(), status.GroupDowntime, "an hour without samples counts as the longest gap")
}
