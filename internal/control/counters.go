package control

import (
	"sync"

	"github.com/crocusway/crocusway/internal/api"
)

// counterValues are the counters of the state. All but LeaseMillis only grow.
type counterValues struct {
	Revision api.Revision `cbor:"1,keyasint"`
	Config   api.Revision `cbor:"2,keyasint"`
	Required api.Revision `cbor:"3,keyasint"`
	Fencing  api.Fencing  `cbor:"4,keyasint"`
	Plan     api.PlanID   `cbor:"5,keyasint"`
	// UnixMillis is the newest time of a command.
	UnixMillis int64 `cbor:"6,keyasint"`
	// Shards is the revision of the newest change of a shard lease.
	Shards api.Revision `cbor:"7,keyasint"`
	// Term is the term of the newest leader that has taken over.
	Term uint64 `cbor:"8,keyasint"`
	// LeaseMillis is the longest work lease that an entry may hold, 0 for the
	// configured one.
	LeaseMillis int64 `cbor:"9,keyasint,omitempty"`
}

type counters struct {
	mu     sync.RWMutex
	values counterValues
}

func (c *counters) load() counterValues {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.values
}

func (c *counters) store(values counterValues) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.values = values
}

// advance keeps the time of commands monotonic across leaders.
func (c *counters) advance(unixMillis int64) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.values.UnixMillis = max(c.values.UnixMillis, unixMillis)
	return c.values.UnixMillis
}

func (c *counters) bump() api.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.values.Revision++
	return c.values.Revision
}

// setTerm records that the leader of a term has taken over.
func (c *counters) setTerm(term uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.values.Term = term
}

// setLease sets the longest work lease.
func (c *counters) setLease(millis int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.values.LeaseMillis = millis
}

// countConfigChange counts a configuration change that takes effect at a
// revision.
func (c *counters) countConfigChange(at api.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.values.Config++
	c.values.Required = at
}

// skip skips numbers that a lost majority may have allocated.
func (c *counters) skip(gap uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.values.Revision += api.Revision(gap)
	c.values.Fencing += api.Fencing(gap)
	c.values.Plan += api.PlanID(gap)
}

// setShards records the revision at which a shard lease changes.
func (c *counters) setShards(at api.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.values.Shards = at
}

func (c *counters) nextFencing() api.Fencing {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.values.Fencing++
	return c.values.Fencing
}

func (c *counters) nextPlan() api.PlanID {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.values.Plan++
	return c.values.Plan
}
