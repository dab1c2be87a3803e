package daemon

import (
	"encoding/json"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/config"
	"github.com/crocusway/crocusway/internal/consensus"
	"github.com/crocusway/crocusway/internal/peer"
	"github.com/crocusway/crocusway/internal/shard"
	"github.com/crocusway/crocusway/internal/telemetry"
)

func TestDumpGolden(t *testing.T) {
	settings := config.DefaultServe()
	settings.Name = "entry1"
	settings.Domain = "cairo"
	settings.PeerSecret = "never-in-a-dump-1"
	settings.OperatorToken = "never-in-a-dump-2"
	settings.BackendToken = "never-in-a-dump-3"
	id := api.ShardID{ServingGroup: "scribe", Domain: "cairo"}
	dump := Dump{
		Name:       settings.Name,
		Roles:      []config.Role{config.RoleControl, config.RoleEntry},
		Settings:   settings.Describe(),
		Uptime:     "1m0s",
		Goroutines: 42,
		Process:    telemetry.ProcessUsage{CPUSeconds: 1.5, MemoryBytes: 4 << 20, HeapBytes: 1 << 20},
		Leader:     "127.0.0.1:7100",
		Links:      peer.Stats{SentBytes: 10, ReceivedBytes: 20},
		Control:    &ControlDump{Log: consensus.Status{ID: "entry1", Leader: "entry1", Term: 3, Leading: true, Applied: 40}},
		Entry: &EntryDump{
			MayWork: true,
			View:    api.View{Revision: 40, Shards: []api.ShardLease{{Shard: id, Owner: "entry1", Epoch: 12}}},
			Shards:  []shard.Dump{{Shard: id, Epoch: 12, Waiting: 1, Replicas: []shard.ReplicaDump{{Group: "scribe-1", Held: 2, Limit: 8}}}},
		},
	}
	raw, err := json.MarshalIndent(dump, "", "  ")
	require.NoError(t, err)
	require.NotContains(t, string(raw), "never-in-a-dump")
	goldie.New(t).Assert(t, "dump", raw)
}
