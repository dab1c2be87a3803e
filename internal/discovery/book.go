// Package discovery finds the control daemons of a system from a few seed
// addresses. Seeds may be out of date, wrong or change while the daemon runs, so
// the member list that control reports takes precedence.
package discovery

import (
	"slices"
	"sync"
)

// AddressBook holds the peer addresses of control daemons. It is safe for
// concurrent use.
type AddressBook struct {
	mu      sync.Mutex
	seeds   []string
	members []string
}

// NewAddressBook returns an address book with the given seeds and no members.
func NewAddressBook(seeds []string) *AddressBook {
	return &AddressBook{seeds: slices.Clone(seeds)}
}

// SetSeeds replaces the seeds and reports whether they changed.
func (b *AddressBook) SetSeeds(seeds []string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if slices.Equal(b.seeds, seeds) {
		return false
	}
	b.seeds = slices.Clone(seeds)
	return true
}

// SetMembers replaces the members that control reported and reports whether they
// changed. An empty list is ignored.
func (b *AddressBook) SetMembers(members []string) bool {
	if len(members) == 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if slices.Equal(b.members, members) {
		return false
	}
	b.members = slices.Clone(members)
	return true
}

// Addresses returns the reported members, then the seeds that are not among them:
// after all members were replaced, a seed may be the only address that still works.
func (b *AddressBook) Addresses() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := slices.Clone(b.members)
	for _, seed := range b.seeds {
		if !slices.Contains(out, seed) {
			out = append(out, seed)
		}
	}
	return out
}
