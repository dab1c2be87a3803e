package control

import (
	"time"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

// recoveryGap is how many revisions, fencing numbers and plan IDs a recovery
// skips, so that none that the lost voters may have allocated is reused.
// Entries, which never apply a lower revision, can then follow this state.
const recoveryGap = 1 << 20

// recoverCommand continues from the state of one voter after a majority was
// lost permanently.
type recoverCommand struct {
	Operator string `cbor:"1,keyasint"`
	// Gap is the number of revisions, fencing numbers and plan IDs to skip.
	Gap uint64 `cbor:"2,keyasint"`
	// Lost lists the voters that the recovery removes.
	Lost []api.VoterID `cbor:"3,keyasint"`
}

// EncodeRecovery returns the command that is appended to the log in a recovery
// from a lost majority.
func EncodeRecovery(operator string, lost []api.VoterID, now time.Time) ([]byte, error) {
	cmd := &recoverCommand{Operator: operator, Gap: recoveryGap, Lost: lost}
	return encodeCommand(cmd, now.UnixMilli())
}

func (*recoverCommand) kind() commandKind { return kindRecover }

func (c *recoverCommand) apply(t *tx) (any, error) {
	if c.Gap == 0 || c.Gap > recoveryGap {
		return nil, refuse(errs.Invalid, "recover", "gap %d, must be 1 to %d", c.Gap, recoveryGap)
	}
	t.counters.skip(c.Gap)
	// An entry's view may contain lost changes. It must not be updated as if it
	// were an older view of this state, so every watch starts with the full view.
	t.changes.reset(t.Revision())
	t.changed = true
	t.counters.countConfigChange(t.nextRevision())
	c.endShardLeases(t)
	t.history.add(historyRow{
		Config: t.ConfigRevision(),
		Item: api.HistoryItem{
			Revision:   t.nextRevision(),
			Operator:   c.Operator,
			UnixMillis: t.now,
			Summary:    c.summary(),
		},
	})
	return api.Empty{}, nil
}

// endShardLeases makes every shard be leased again at a higher epoch: the lost
// voters may have moved any of them, and only a handover counts the running
// requests.
func (*recoverCommand) endShardLeases(t *tx) {
	t.counters.setShards(t.nextRevision())
	for _, lease := range t.shards.list() {
		key := shardKey(lease.Shard)
		t.shards.del(key)
		t.markChanged(tableShards, key)
	}
}

func (c *recoverCommand) summary() string {
	s := "recovered from a lost majority; given up:"
	for _, id := range c.Lost {
		s += " " + string(id)
	}
	return s
}
