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
func (m *revisionTimes) add(at time.Time, revision api.Revision, horizon time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n := len(m.rows); n == 0 || m.rows[n-1].revision != revision {
		m.rows = append(m.rows, revisionTime{at: at, revision: revision})
	}
	for len(m.rows) > 1 && !m.rows[1].at.After(horizon) {
		m.rows = m.rows[1:]
	}
}

// acceptedBy returns the newest revision that was accepted at or before a time,
// 0 when none is recorded.
func (m *revisionTimes) acceptedBy(at time.Time) api.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	var revision api.Revision
	for _, row := range m.rows {
		if row.at.After(at) {
			break
		}
		revision = row.revision
	}
	return revision
}
