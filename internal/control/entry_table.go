package control

import (
	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

// entryRow is a registered entry daemon.
type entryRow struct {
	Info api.EntryInfo `cbor:"1,keyasint"`
	// Registered is the revision of the newest registration or expiry. It
	// distinguishes a repeated expiry from a new one.
	Registered api.Revision `cbor:"2,keyasint"`
	// EndedUnixMillis is when the work lease ended, 0 while the entry is live.
	EndedUnixMillis int64 `cbor:"3,keyasint,omitempty"`
}

// expired reports whether the retention of an entry without a lease is over.
func (r entryRow) expired(now, retentionMillis int64) bool {
	return !r.Info.Live && r.EndedUnixMillis+retentionMillis <= now
}

func (s *State) entryInfos() []api.EntryInfo {
	return mapRows(s.entries.list(), func(row entryRow) api.EntryInfo { return row.Info })
}

// entryPutCommand registers an entry or updates its registration. The leader
// proposes it only while no older incarnation can hold a work lease.
type entryPutCommand struct {
	Info api.EntryInfo `cbor:"1,keyasint"`
	// RetentionMillis is how long records of older incarnations are kept.
	RetentionMillis int64 `cbor:"2,keyasint"`
	// Applied is the revision that the entry has applied.
	Applied api.Revision `cbor:"3,keyasint"`
}

func (*entryPutCommand) kind() commandKind { return kindEntryPut }

func (c *entryPutCommand) apply(t *tx) (any, error) {
	old, known := t.entries.get(c.Info.ID)
	if known && c.Info.Incarnation < old.Info.Incarnation {
		return nil, refuse(errs.Stale, "register entry", "incarnation %d is older than %d", c.Info.Incarnation, old.Info.Incarnation)
	}
	if err := t.guards.resume(t, c, old.Info); err != nil {
		return nil, err
	}
	info := c.Info
	if known && info.Incarnation == old.Info.Incarnation {
		info.Leaving = info.Leaving || old.Info.Leaving
	}
	if known && old.Info == info {
		return old, nil
	}
	row := entryRow{Info: info, Registered: t.nextRevision()}
	t.entries.put(c.Info.ID, row)
	t.markChanged(tableEntries, string(c.Info.ID))
	if known && c.Info.Incarnation > old.Info.Incarnation {
		t.renewEpochs(c.Info.ID)
		t.records.orphan(c.Info.ID, c.Info.Incarnation-1, t.now+c.RetentionMillis)
	}
	return row, nil
}

// renewEpochs gives the shards of a restarted entry a new epoch, because its
// count of outstanding work is lost.
func (t *tx) renewEpochs(owner api.EntryID) {
	for _, lease := range t.shards.list() {
		if lease.Owner != owner {
			continue
		}
		lease.Epoch = t.nextRevision()
		t.putShard(lease)
	}
}

// entryExpireCommand marks an entry whose work lease has ended.
type entryExpireCommand struct {
	ID         api.EntryID  `cbor:"1,keyasint"`
	Registered api.Revision `cbor:"2,keyasint"`
	// RetentionMillis is how long its open records are kept.
	RetentionMillis int64 `cbor:"3,keyasint"`
	// Term is the term of the leader that observed the end of the lease.
	Term uint64 `cbor:"4,keyasint"`
	// Finished is set when the entry released its lease with no grant in use.
	Finished bool `cbor:"5,keyasint,omitempty"`
}

func (*entryExpireCommand) kind() commandKind { return kindEntryExpire }

func (c *entryExpireCommand) apply(t *tx) (any, error) {
	if err := t.guards.term(t, c.Term); err != nil {
		return nil, err
	}
	row, ok := t.entries.get(c.ID)
	if !ok || row.Registered != c.Registered || !row.Info.Live {
		return row, nil
	}
	row.Info.Live = false
	row.Info.Finished = c.Finished
	row.Registered = t.nextRevision()
	row.EndedUnixMillis = t.now
	t.entries.put(c.ID, row)
	t.markChanged(tableEntries, string(c.ID))
	t.records.orphan(c.ID, row.Info.Incarnation, t.now+c.RetentionMillis)
	return row, nil
}
