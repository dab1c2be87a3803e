package control

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
	"github.com/crocusway/crocusway/internal/peer"
)

// cachedUpdates is the number of encoded updates that are kept. Nearly all entries
// watch from the last revision or two.
const cachedUpdates = 4

// updateCache keeps encoded answers to watches. An update may hold a publication with
// hundreds of routes, which every entry asks for at the same time.
type updateCache struct {
	mu   sync.Mutex
	rows []cachedUpdate
}

// cachedUpdate is what changed between two revisions, which stays the same.
type cachedUpdate struct {
	from, to api.Revision
	full     bool
	lease    int64
	encoded  peer.Encoded
}

// encode returns an answer to a watch as JSON.
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

// encodedWatch answers control.watch.
func (s *Service) encodedWatch(ctx context.Context, r api.WatchRequest) (peer.Encoded, error) {
	response, err := s.watch(ctx, r)
	if err != nil {
		return nil, err
	}
	return s.updates.encode(response)
}
