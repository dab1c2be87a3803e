// Package discovery finds the control daemons of a system from a few seed
// addresses. Seeds may be out of date, wrong or change while the daemon runs;
// what control itself says of its members goes before them.
package discovery

import (
	"slices"
	"sync"
)

// Book holds the peer addresses of control daemons. It is safe for concurrent
// use.
type Book struct {
	mu      sync.Mutex
	seeds   []string
	learned []string
}

// NewBook returns a book with the seeds of the settings.
func NewBook(seeds []string) *Book {
	return &Book{seeds: slices.Clone(seeds)}
}

// SetSeeds replaces the seeds. It reports whether they changed.
func (b *Book) SetSeeds(seeds []string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if slices.Equal(b.seeds, seeds) {
		return false
	}
	b.seeds = slices.Clone(seeds)
	return true
}

// Learn replaces the members that control named last. An empty list tells
// nothing. It reports whether the members changed.
func (b *Book) Learn(members []string) bool {
	if len(members) == 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if slices.Equal(b.learned, members) {
		return false
	}
	b.learned = slices.Clone(members)
	return true
}

// Addresses returns the learned members, then the seeds that are none of them:
// after a change of every member a seed may be the only way back.
func (b *Book) Addresses() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := slices.Clone(b.learned)
	for _, seed := range b.seeds {
		if !slices.Contains(out, seed) {
			out = append(out, seed)
		}
	}
	return out
}
