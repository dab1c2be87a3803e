package control

import (
	"cmp"
	"maps"
	"slices"
	"sync"
)

// table is one part of the replicated state under its own lock. Rows are
// immutable: a change replaces the whole row.
type table[K cmp.Ordered, V any] struct {
	mu   sync.RWMutex
	rows map[K]V
}

func newTable[K cmp.Ordered, V any]() *table[K, V] {
	return &table[K, V]{rows: make(map[K]V)}
}

func (t *table[K, V]) get(key K) (V, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	row, ok := t.rows[key]
	return row, ok
}

func (t *table[K, V]) put(key K, row V) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows[key] = row
}

func (t *table[K, V]) del(key K) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.rows, key)
}

func (t *table[K, V]) size() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.rows)
}

// list returns the rows in the order of their keys, nil when there are none.
func (t *table[K, V]) list() []V {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if len(t.rows) == 0 {
		return nil
	}
	out := make([]V, 0, len(t.rows))
	for _, key := range slices.Sorted(maps.Keys(t.rows)) {
		out = append(out, t.rows[key])
	}
	return out
}

// clone returns a copy of the rows by key.
func (t *table[K, V]) clone() map[K]V {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return maps.Clone(t.rows)
}

// any reports whether a row satisfies the predicate.
func (t *table[K, V]) any(f func(V) bool) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, row := range t.rows {
		if f(row) {
			return true
		}
	}
	return false
}

// replace sets the whole content.
func (t *table[K, V]) replace(rows []V, key func(V) K) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows = make(map[K]V, len(rows))
	for _, row := range rows {
		t.rows[key(row)] = row
	}
}

// mapRows converts every row of a list; nil stays nil.
func mapRows[V, W any](rows []V, f func(V) W) []W {
	if rows == nil {
		return nil
	}
	out := make([]W, 0, len(rows))
	for _, row := range rows {
		out = append(out, f(row))
	}
	return out
}
