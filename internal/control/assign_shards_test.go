package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/crocusway/crocusway/internal/api"
)

func TestAssignShardsPrefersTheDomain(t *testing.T) {
	v := api.View{
		Domains: []api.Domain{{Name: "giza", State: api.DomainDrained}},
		Entries: []api.EntryInfo{
			{ID: "e1", Domain: "cairo", Live: true},
			{ID: "e2", Domain: "tanta", Live: true},
			{ID: "e3", Domain: "cairo", Live: true, Leaving: true},
			{ID: "e4", Domain: "cairo"},
			{ID: "e5", Domain: "giza", Live: true},
		},
		Groups: []api.Group{
			{ID: "g1", ServingGroup: "s", Domain: "cairo"},
			{ID: "g2", ServingGroup: "s", Domain: "tanta"},
			{ID: "g3", ServingGroup: "s", Domain: "giza"},
			{ID: "g4", ServingGroup: "s", Domain: "cairo"},
		},
		Shards: []api.ShardLease{
			{Shard: api.ShardID{ServingGroup: "s", Domain: "tanta"}, Owner: "e1"},
			{Shard: api.ShardID{ServingGroup: "s", Domain: "cairo"}, Owner: "e3"},
			{Shard: api.ShardID{ServingGroup: "gone", Domain: "cairo"}, Owner: "e1"},
		},
	}
	cmd := assignShards(v)
	require.Equal(t, []api.ShardID{{ServingGroup: "gone", Domain: "cairo"}}, cmd.Remove)
	require.Equal(t, []api.ShardLease{
		{Shard: api.ShardID{ServingGroup: "s", Domain: "cairo"}, Owner: "e1"},
		{Shard: api.ShardID{ServingGroup: "s", Domain: "giza"}, Owner: "e2"},
	}, cmd.Assign)
}

// Every shard with groups has one eligible owner, an eligible owner keeps its
// shards, and new shards of one domain are spread evenly over its entries.
func TestAssignShardsProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := api.View{}
		for i := range rapid.IntRange(1, 6).Draw(t, "entries") {
			live := i == 0 || rapid.Bool().Draw(t, "live")
			v.Entries = append(v.Entries, api.EntryInfo{ID: api.EntryID(fmt.Sprintf("e%d", i)), Domain: "d", Live: live})
		}
		for i := range rapid.IntRange(0, 12).Draw(t, "groups") {
			name := api.ServingGroupName(fmt.Sprintf("s%d", i))
			v.Groups = append(v.Groups, api.Group{ServingGroup: name, Domain: "d"})
		}
		cmd := assignShards(v)
		load := make(map[api.EntryID]int)
		for _, lease := range cmd.Assign {
			load[lease.Owner]++
		}
		owners := eligibleOwners(v)
		require.Len(t, cmd.Assign, len(v.Groups))
		for _, o := range owners {
			require.InDelta(t, float64(len(v.Groups))/float64(len(owners)), float64(load[o.id]), 1)
		}
		v.Shards = cmd.Assign
		again := assignShards(v)
		require.Empty(t, again.Assign)
		require.Empty(t, again.Remove)
	})
}

func TestShardWaitsForTheLeaseUnderANewLeader(t *testing.T) {
	f := newFixture()
	require.NoError(t, f.renew("e1", 1))
	f.configure(t, api.Intent{ServingGroups: []api.ServingGroup{servingGroup("scribe")}})
	_, err := f.service().ChangeGroup(ctx, api.GroupChange{Kind: api.GroupForm, Group: api.Group{
		ServingGroup: "scribe", Domain: "cairo", Members: []api.HostID{"h1"},
	}})
	require.NoError(t, err)
	f.advance(DefaultLeaseDuration)
	require.NoError(t, f.renew("e2", 1))
	f.elect(1)
	f.advance(time.Millisecond)
	epoch := f.state().View().Shards[0].Epoch
	for range 3 {
		f.advance(time.Second)
		require.NoError(t, f.renew("e2", 1))
	}
	require.Equal(t, api.EntryID("e1"), f.state().View().Shards[0].Owner, "the new leader waits for a full lease")
	f.advance(DefaultDriftMargin)
	lease := f.state().View().Shards[0]
	require.Equal(t, api.EntryID("e2"), lease.Owner)
	require.Greater(t, lease.Epoch, epoch)
}
