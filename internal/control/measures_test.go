package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
)

func host(id api.HostID, fabric api.FabricDomain, alive bool) api.HostStatus {
	return api.HostStatus{
		Announcement: api.Announcement{Host: id, Fabric: fabric, Kind: api.BackendEngine},
		Alive:        alive,
	}
}

func TestDownReplicasAndStrandedHosts(t *testing.T) {
	service := host("s1", "f1", true)
	service.Announcement.Kind = api.BackendService
	f := api.FleetView{
		ServingGroups: []api.ServingGroup{
			{Name: "a", Replicas: 3, Spares: 1},
			{Name: "b", Replicas: 0},
		},
		Groups: []api.Group{
			{ID: "g1", ServingGroup: "a", Fabric: "f1", Phase: api.GroupReady, Members: []api.HostID{"h1", "h2"}},
			{ID: "g2", ServingGroup: "a", Fabric: "f1", Phase: api.GroupLoading, Members: []api.HostID{"h3"}},
			{ID: "g3", ServingGroup: "b", Fabric: "f2", Phase: api.GroupReady, Members: []api.HostID{"h7"}},
		},
		Assignments: []api.Assignment{{Host: "h1"}, {Host: "h2"}, {Host: "h3"}, {Host: "h7"}},
		Hosts: []api.HostStatus{
			host("h1", "f1", true),
			host("h2", "f1", true),
			host("h3", "f1", true),  // loading: stranded
			host("h4", "f1", true),  // the spare of serving group a
			host("h5", "f1", true),  // beyond the spares: stranded
			host("h6", "f1", false), // gone
			host("h7", "f2", true),
			host("h8", "f2", true), // no spares are configured: stranded
			service,
		},
	}
	require.Equal(t, 2, downReplicas(f))
	require.Equal(t, 3, strandedHosts(f))
}

func TestMeasuresCoverTheLastHour(t *testing.T) {
	m := newMeasures(start)
	now := start
	for range 7200 {
		now = now.Add(time.Second)
		m.sample(now, 2, 1)
	}
	status := m.status(now)
	require.InDelta(t, 2*3600, status.GroupDowntime, 2*60)
	require.InDelta(t, 3600, status.Stranded, 60)
	m.sample(now.Add(time.Hour), 1, 1)
	status = m.status(now.Add(time.Hour))
	require.Equal(t, measureGap.Seconds(), status.GroupDowntime, "an unseen hour counts as the longest gap")
}
