package control

import "github.com/crocusway/crocusway/internal/api"

// leaseCommand sets the longest work lease that an entry may hold. The leader
// commits a longer one before it grants it, and a shorter one only once every
// longer lease has run out, so that each later leader knows how long to wait.
type leaseCommand struct {
	Millis int64 `cbor:"1,keyasint"`
	// Term is the term of the leader that proposed it.
	Term uint64 `cbor:"2,keyasint"`
}

func (*leaseCommand) kind() commandKind { return kindLease }

func (c *leaseCommand) apply(t *tx) (any, error) {
	if err := t.guards.term(t, c.Term); err != nil {
		return nil, err
	}
	if t.counters.load().LeaseMillis != c.Millis {
		t.counters.setLease(c.Millis)
		t.changed = true
	}
	return api.Empty{}, nil
}
