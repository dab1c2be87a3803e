package control

import (
	"cmp"
	"sync"

	"github.com/google/btree"

	"github.com/crocusway/crocusway/internal/api"
)

const (
	recordTreeDegree = 32
	// recordOverhead is the size charged for a record beside its strings.
	recordOverhead = 256
)

// recordKey identifies an idempotency record.
type recordKey struct {
	account api.AccountID
	key     string
}

func keyOf(r api.Record) recordKey { return recordKey{account: r.Account, key: r.Key} }

// recordExpiry orders ended records by their expiry time.
type recordExpiry struct {
	unixMillis int64
	key        recordKey
}

func expiryLess(a, b recordExpiry) bool {
	return cmp.Or(cmp.Compare(a.unixMillis, b.unixMillis), compareKeys(a.key, b.key)) < 0
}

func compareKeys(a, b recordKey) int {
	return cmp.Or(cmp.Compare(a.account, b.account), cmp.Compare(a.key, b.key))
}

func recordLess(a, b *api.Record) bool {
	return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Key, b.Key)) < 0
}

// pivot returns a search key: a record that compares equal to the one with the
// key.
func pivot(key recordKey) *api.Record { return &api.Record{Account: key.account, Key: key.key} }

// recordTable holds the idempotency records. Running records never expire; they
// are ended by their entry or when the entry is lost.
type recordTable struct {
	mu      sync.RWMutex
	rows    *btree.BTreeG[*api.Record]
	expiry  *btree.BTreeG[recordExpiry]
	running map[api.EntryID]map[recordKey]struct{}
	bytes   int64
}

func newRecordTable() *recordTable {
	t := &recordTable{}
	t.clear()
	return t
}

func (t *recordTable) clear() {
	t.rows = btree.NewG(recordTreeDegree, recordLess)
	t.expiry = btree.NewG(recordTreeDegree, expiryLess)
	t.running = make(map[api.EntryID]map[recordKey]struct{})
	t.bytes = 0
}

func (t *recordTable) get(key recordKey) (api.Record, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r, ok := t.rows.Get(pivot(key))
	if !ok {
		return api.Record{}, false
	}
	return *r, true
}

func (t *recordTable) put(r api.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.insert(&r)
}

func (t *recordTable) del(key recordKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drop(key)
}

func (t *recordTable) insert(r *api.Record) {
	key := keyOf(*r)
	t.drop(key)
	t.rows.ReplaceOrInsert(r)
	t.bytes += recordSize(*r)
	if r.State != api.RecordRunning {
		t.expiry.ReplaceOrInsert(recordExpiry{unixMillis: r.ExpiresUnixMillis, key: key})
		return
	}
	if t.running[r.Entry] == nil {
		t.running[r.Entry] = make(map[recordKey]struct{})
	}
	t.running[r.Entry][key] = struct{}{}
}

func (t *recordTable) drop(key recordKey) {
	old, ok := t.rows.Delete(pivot(key))
	if !ok {
		return
	}
	t.bytes -= recordSize(*old)
	t.expiry.Delete(recordExpiry{unixMillis: old.ExpiresUnixMillis, key: key})
	delete(t.running[old.Entry], key)
	if len(t.running[old.Entry]) == 0 {
		delete(t.running, old.Entry)
	}
}

// recordSize is the storage charged for a record, in bytes.
func recordSize(r api.Record) int64 {
	size := recordOverhead + len(r.Account) + len(r.Key) + len(r.BodyHash) + len(r.Request)
	return int64(size + len(r.Entry) + len(r.ContentType) + len(r.Body))
}

// usage returns the number of records, how many of them are running, and the
// stored bytes.
func (t *recordTable) usage() (records, running int, bytes int64) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, keys := range t.running {
		running += len(keys)
	}
	return t.rows.Len(), running, t.bytes
}

// expire deletes at most limit expired records and returns their number.
func (t *recordTable) expire(now int64, limit int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	for n := 0; n < limit; n++ {
		oldest, ok := t.expiry.Min()
		if !ok || oldest.unixMillis > now {
			return n
		}
		t.drop(oldest.key)
	}
	return limit
}

// hasExpired reports whether a record has expired.
func (t *recordTable) hasExpired(now int64) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	oldest, ok := t.expiry.Min()
	return ok && oldest.unixMillis <= now
}

// orphan marks the running records of an entry up to an incarnation as unknown.
func (t *recordTable) orphan(entry api.EntryID, upTo api.Incarnation, expires int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var orphans []api.Record
	for key := range t.running[entry] {
		if r, ok := t.rows.Get(pivot(key)); ok && r.Incarnation <= upTo {
			orphans = append(orphans, *r)
		}
	}
	for _, r := range orphans {
		r.State = api.RecordUnknown
		r.ExpiresUnixMillis = expires
		t.insert(&r)
	}
}

// list returns the records sorted by key. Records are immutable: a change
// replaces the record.
func (t *recordTable) list() []*api.Record {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]*api.Record, 0, t.rows.Len())
	t.rows.Ascend(func(r *api.Record) bool {
		out = append(out, r)
		return true
	})
	return out
}

func (t *recordTable) replace(rows []recordRow) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clear()
	for _, row := range rows {
		t.insert(row.record())
	}
}
