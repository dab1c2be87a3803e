package control

import (
	"slices"
	"sync"
	"time"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

// leaseRow is the leader's record of one entry's work lease. It ends later than
// the entry's own, which counts from when the entry sent the renewal.
type leaseRow struct {
	incarnation api.Incarnation
	until       time.Time
	applied     api.Revision
	// expiring is set from the leader's decision that the lease has run out
	// until the expiry is committed. The lease can't be renewed meanwhile.
	expiring bool
}

// leaseTable holds the work leases that entries may hold. It belongs to one
// leadership.
type leaseTable struct {
	mu   sync.Mutex
	rows map[api.EntryID]*leaseRow
	// extend returns the new end of a renewed lease from its old end and the
	// requested one.
	extend func(until, renewed time.Time) time.Time
}

// newLeaseTable assumes that every live entry renewed its lease just before the
// election, for a length that includes the drift margin.
func newLeaseTable(length time.Duration, electedAt time.Time, entries []api.EntryInfo) *leaseTable {
	t := &leaseTable{rows: make(map[api.EntryID]*leaseRow), extend: laterOf}
	for _, e := range entries {
		if e.Live {
			t.rows[e.ID] = &leaseRow{incarnation: e.Incarnation, until: electedAt.Add(length)}
		}
	}
	return t
}

// laterOf returns the later time: a lease granted earlier with a longer length
// keeps its end.
func laterOf(until, renewed time.Time) time.Time {
	if until.After(renewed) {
		return until
	}
	return renewed
}

// renew extends the lease of an entry to a length from now. An entry that has
// not applied the required revision is refused, so that its lease runs out.
func (t *leaseTable) renew(r api.RenewRequest, length time.Duration, now time.Time, required func() api.Revision) error {
	const step = "renew lease"
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rows[r.Entry.ID]
	if row != nil && r.Entry.Incarnation < row.incarnation {
		return refuse(errs.Stale, step, "incarnation %d is older than %d", r.Entry.Incarnation, row.incarnation)
	}
	if row != nil && row.expiring {
		return retryLater(length/10, step, "the expiry of the lease is being committed")
	}
	if row != nil && r.Entry.Incarnation > row.incarnation && row.until.After(now) {
		return retryLater(row.until.Sub(now), step, "incarnation %d may still hold a lease", row.incarnation)
	}
	if row != nil && r.Entry.Incarnation == row.incarnation {
		row.applied = max(row.applied, r.Applied)
	}
	if floor := required(); r.Applied < floor {
		return retryLater(retryApply, step, "revision %d is not applied yet", floor)
	}
	if row == nil || row.incarnation != r.Entry.Incarnation {
		row = &leaseRow{incarnation: r.Entry.Incarnation, applied: r.Applied}
		t.rows[r.Entry.ID] = row
	}
	row.until = t.extend(row.until, now.Add(length))
	return nil
}

// lagging lists the entries that may work and have not applied a revision.
func (t *leaseTable) lagging(revision api.Revision, now time.Time) []api.EntryID {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []api.EntryID
	for id, row := range t.rows {
		if row.until.After(now) && row.applied < revision {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// beginExpiry marks the lease of an entry as expiring if it has run out.
func (t *leaseTable) beginExpiry(id api.EntryID, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rows[id]
	if row == nil {
		row = &leaseRow{}
		t.rows[id] = row
	}
	if row.until.After(now) {
		return false
	}
	row.expiring = true
	return true
}

// release ends a lease at the entry's request. It can't be renewed until the
// end is committed.
func (t *leaseTable) release(e api.EntryInfo, now time.Time) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rows[e.ID]
	if row == nil {
		return nil
	}
	if row.incarnation != e.Incarnation {
		return refuse(errs.Stale, "release lease", "incarnation %d is not %d", e.Incarnation, row.incarnation)
	}
	row.until = now
	row.expiring = true
	return nil
}

// endExpiries deletes the expiring leases of entries that are not live in the
// state. Their expiry is committed, even if its proposal failed with an unknown
// outcome.
func (t *leaseTable) endExpiries(live func(api.EntryID) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, row := range t.rows {
		if row.expiring && !live(id) {
			delete(t.rows, id)
		}
	}
}
