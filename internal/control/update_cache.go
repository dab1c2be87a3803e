package control

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
	"github.com/crocusway/crocusway/internal/peer"
)

// cachedUpdates is the number of encoded updates that are kept. Nearly all
// entries watch from one of the last two revisions.
const cachedUpdates = 4

// updateCache caches encoded responses to watches. An update may contain a
// publication with hundreds of routes, which every entry requests at the same
// time.
type updateCache struct {
	mu   sync.Mutex
	rows []cachedUpdate
}

// cachedUpdate is the encoded change between two revisions, which is immutable.
type cachedUpdate struct {
	from, to api.Revision
	full     bool
	lease    int64
	encoded  peer.Encoded
}

// encode returns a watch response as JSON.
func (c *updateCache) encode(r api.WatchResponse) (peer.Encoded, error) {
	u := &r.Update
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, row := range c.rows {
		if row.from == u.From && row.to == u.To && row.full == u.Full && row.lease == u.Upsert.LeaseMillis {
			return row.encoded, nil
		}
	}
	raw, err := json.Marshal(r)
	if err != nil {
		return nil, errs.New(errs.Internal, "encode update", "", "%w", err)
	}
	if len(c.rows) == cachedUpdates {
		c.rows = append(c.rows[:0], c.rows[1:]...)
	}
	c.rows = append(c.rows, cachedUpdate{
		from: u.From, to: u.To, full: u.Full, lease: u.Upsert.LeaseMillis, encoded: raw,
	})
	return raw, nil
}

// encodedWatch handles control.watch.
func (s *Service) encodedWatch(ctx context.Context, r api.WatchRequest) (peer.Encoded, error) {
	response, err := s.watch(ctx, r)
	if err != nil {
		return nil, err
	}
	return s.updates.encode(response)
}
