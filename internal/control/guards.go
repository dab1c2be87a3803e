package control

import (
	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

// guards are the checks that enforce the invariants of the state. They are
// fields so that tests can disable one and show that the invariant checkers
// detect it.
type guards struct {
	// base is the compare-and-set of a confirmation.
	base func(t *tx, plan api.Plan) error
	// planRecorded finds the plan that a repeated request must return.
	planRecorded func(t *tx, key string) (api.Plan, bool)
	// free refuses hosts that already belong to a group.
	free func(t *tx, hosts []api.HostID) error
	// shardMove refuses to move a shard from an owner that may still work.
	shardMove func(t *tx, lease api.ShardLease) error
	// resume refuses to register an entry without a live lease that has not
	// applied the newest change of shard leases: a shard may have moved
	// meanwhile.
	resume func(t *tx, c *entryPutCommand, old api.EntryInfo) error
	// term refuses commands that an earlier leadership decided.
	term func(t *tx, term uint64) error
	// recordExists finds the record that an open must not replace.
	recordExists func(t *tx, key recordKey) (api.Record, bool)
}

func newGuards() guards {
	return guards{
		base:         checkBase,
		planRecorded: findPlan,
		free:         checkFree,
		shardMove:    checkShardMove,
		resume:       checkResume,
		term:         checkTerm,
		recordExists: findRecord,
	}
}

func checkBase(t *tx, plan api.Plan) error {
	base := t.ConfigRevision()
	if plan.Base == base {
		return nil
	}
	return refuse(errs.Conflict, "decide plan", "plan %d is based on configuration %d, the current one is %d: %s",
		plan.ID, plan.Base, base, t.history.since(plan.Base))
}

func checkFree(t *tx, hosts []api.HostID) error {
	for _, host := range hosts {
		if a, ok := t.assignments.get(host); ok {
			return refuse(errs.Conflict, stepGroup, "host %s belongs to group %s at fencing number %d", host, a.Group, a.Fencing)
		}
	}
	return nil
}

func checkShardMove(t *tx, lease api.ShardLease) error {
	const step = "assign shard"
	if old, ok := t.shards.get(shardKey(lease.Shard)); ok && old.Owner != lease.Owner {
		row, known := t.entries.get(old.Owner)
		if known && row.Info.Live && !row.Info.Leaving {
			return refuse(errs.Conflict, step, "owner %s of shard %s is live", old.Owner, lease.Shard)
		}
	}
	row, ok := t.entries.get(lease.Owner)
	if !ok || !row.Info.Live || row.Info.Leaving {
		return refuse(errs.Conflict, step, "entry %s can't own shards: it is not live or is leaving", lease.Owner)
	}
	return nil
}

func findRecord(t *tx, key recordKey) (api.Record, bool) { return t.records.get(key) }

func checkResume(t *tx, c *entryPutCommand, old api.EntryInfo) error {
	if old.Live && old.Incarnation == c.Info.Incarnation {
		return nil
	}
	if moved := t.counters.load().Shards; c.Applied < moved {
		return retryLater(retryApply, "register entry", "revision %d is not applied yet", moved)
	}
	return nil
}
