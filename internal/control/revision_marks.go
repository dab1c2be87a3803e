package control

import (
	"sync"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// revisionMark is the revision at one moment.
type revisionMark struct {
	at       time.Time
	revision api.Revision
}

// revisionMarks remembers when revisions were accepted.
type revisionMarks struct {
	mu   sync.Mutex
	rows []revisionMark
}

// add notes a revision and forgets the marks that before(horizon) no longer
// needs.
func (m *revisionMarks) add(at time.Time, revision api.Revision, horizon time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n := len(m.rows); n == 0 || m.rows[n-1].revision != revision {
		m.rows = append(m.rows, revisionMark{at: at, revision: revision})
	}
	for len(m.rows) > 1 && !m.rows[1].at.After(horizon) {
		m.rows = m.rows[1:]
	}
}

// before returns the newest revision that was accepted at or before a moment,
// 0 when none is remembered.
func (m *revisionMarks) before(at time.Time) api.Revision {
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
