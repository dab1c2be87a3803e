package control

import (
	"sync"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// revisionTime is the revision at one time.
type revisionTime struct {
	at       time.Time
	revision api.Revision
}

// revisionTimes records when revisions were accepted.
type revisionTimes struct {
	mu   sync.Mutex
	rows []revisionTime
}

// add records a revision and drops the rows that acceptedBy(horizon) no longer
// needs.
func (r *revisionTimes) add(at time.Time, revision api.Revision, horizon time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := len(r.rows); n == 0 || r.rows[n-1].revision != revision {
		r.rows = append(r.rows, revisionTime{at: at, revision: revision})
	}
	for len(r.rows) > 1 && !r.rows[1].at.After(horizon) {
		r.rows = r.rows[1:]
	}
}

// acceptedBy returns the newest revision that was accepted at or before a time,
// 0 when none is recorded.
func (r *revisionTimes) acceptedBy(at time.Time) api.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	var revision api.Revision
	for _, row := range r.rows {
		if row.at.After(at) {
			break
		}
		revision = row.revision
	}
	return revision
}
