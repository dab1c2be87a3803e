package control

import (
	"strings"

	"github.com/crocusway/crocusway/internal/api"
)

const shardSeparator = "\x00"

// shardKey is the key of a shard in its table.
func shardKey(id api.ShardID) string {
	return string(id.ServingGroup) + shardSeparator + string(id.Domain)
}

func shardOf(key string) api.ShardID {
	group, domain, _ := strings.Cut(key, shardSeparator)
	return api.ShardID{ServingGroup: api.ServingGroupName(group), Domain: api.FailureDomain(domain)}
}

// shardsCommand assigns shards to new owners and ends leases.
type shardsCommand struct {
	// Assign names the new owners; the epoch is set when it is applied.
	Assign []api.ShardLease `cbor:"1,keyasint,omitempty"`
	Remove []api.ShardID    `cbor:"2,keyasint,omitempty"`
}

func (*shardsCommand) kind() commandKind { return kindShards }

func (c *shardsCommand) apply(t *tx) (any, error) {
	for _, lease := range c.Assign {
		if err := t.guards.shardMove(t, lease); err != nil {
			return nil, err
		}
	}
	for _, lease := range c.Assign {
		lease.Epoch = t.nextRevision()
		t.putShard(lease)
	}
	for _, id := range c.Remove {
		if _, ok := t.shards.get(shardKey(id)); !ok {
			continue
		}
		t.shards.del(shardKey(id))
		t.markChanged(tableShards, shardKey(id))
		t.counters.setShards(t.nextRevision())
	}
	return api.Empty{}, nil
}

func (t *tx) putShard(lease api.ShardLease) {
	key := shardKey(lease.Shard)
	t.shards.put(key, lease)
	t.counters.setShards(t.nextRevision())
	t.markChanged(tableShards, key)
}
