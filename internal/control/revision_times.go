package control

import (
	"sync"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// revisionTime is the revision at one moment.
type revisionTime struct {
	at       time.Time
	revision api.Revision
}

// revisionTimes remembers when revisions were accepted.
type revisionTimes struct {
	mu   sync.Mutex
	rows []revisionTime
}

// add notes a revision and forgets the marks that before(horizon) no longer
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

// acceptedBy returns the newest revision that was accepted at or acceptedBy a moment,
// 0 when none is remembered.
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
