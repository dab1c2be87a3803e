package group_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/bench"
	"github.com/crocusway/crocusway/internal/group"
)

// BenchmarkDecide evaluates 1,000 replicas of 16 hosts in 11 failure domains
// with 4 fabric domains each, every one of them ready.
func BenchmarkDecide(b *testing.B) {
	v := largeView(1000, 16)
	p := group.DefaultPolicy()
	now := time.Unix(1_000_000, 0)
	mem := group.NewMemory()
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(tick)
		mem.Observe(&v, &p, now)
		plan := group.Decide(v, mem, p, now)
		require.Empty(b, plan.Changes)
	}
}

// largeView returns a fleet of ready groups.
func largeView(replicas, size int) api.FleetView {
	const domains, fabrics = 11, 4
	sg := scribe(replicas, size)
	store := bench.NewFleetStore(sg)
	model := bench.NewFleetModel(store, bench.FleetTimes{Announce: time.Second}, 3*time.Second)
	v := api.FleetView{Revision: 1, ServingGroups: []api.ServingGroup{sg}}
	for i := range replicas {
		d := i % domains
		f := i % (domains * fabrics)
		g := api.Group{
			ID: api.GroupID(fmt.Sprintf("scribe-%04d", i)), ServingGroup: sg.Name, Model: sg.Model,
			Domain: api.FailureDomain(fmt.Sprintf("d%02d", d)), Fabric: api.FabricDomain(fmt.Sprintf("f%02d", f)),
			Fencing: api.Fencing(i + 1), Phase: api.GroupReady,
		}
		for rank := range size {
			h := &bench.FleetHost{
				ID: api.HostID(fmt.Sprintf("host-%04d-%02d", i, rank)), Fabric: g.Fabric, Domain: g.Domain,
				ChecksFencing: true, Group: g.ID, Fencing: g.Fencing, Rank: rank,
			}
			model.Add(h)
			g.Members = append(g.Members, h.ID)
			v.Assignments = append(v.Assignments, api.Assignment{Host: h.ID, Group: g.ID, Fencing: g.Fencing})
		}
		v.Groups = append(v.Groups, g)
	}
	v.Hosts = model.View().Hosts
	for i := range v.Groups {
		g, a := &v.Groups[i], &v.Hosts[i*size].Announcement
		g.Address, g.Warm, g.BearableLoad, g.WarmLoad = a.Address, a.Warm, a.BearableLoad, a.WarmLoad
	}
	return v
}
