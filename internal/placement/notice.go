package placement

import (
	"sync"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

const (
	// MaxPause bounds the pause that a server may ask for.
	MaxPause = 10 * time.Minute
	// maxNotices bounds the servers of which notices are kept.
	maxNotices = 4096
)

// Notices holds what servers have told this entry of themselves in their answers: that they
// leave, or that they want no requests of this entry for a time. A notice belongs to one
// incarnation of a server and to no other entry, and outlasts every view. It is safe for
// concurrent use.
type Notices struct {
	mu   sync.Mutex
	rows map[api.HostID]notice
}

// notice is what one incarnation of a server has told.
type notice struct {
	incarnation api.Incarnation
	leaving     bool
	// pausedUntil is the end of the last pause, and at the time of the notice.
	pausedUntil time.Time
	at          time.Time
}

// NewNotices returns an empty table.
func NewNotices() *Notices { return &Notices{rows: make(map[api.HostID]notice)} }

// RecordLeaving records that a server leaves. It reports whether that is new.
func (n *Notices) RecordLeaving(server api.HostID, incarnation api.Incarnation, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	row, current := n.row(server, incarnation)
	if !current || row.leaving {
		return false
	}
	row.leaving, row.at = true, now
	n.put(server, row)
	return true
}

// RecordPause records that a server wants no requests for a time. A later notice may
// lengthen the pause, and never shortens it.
func (n *Notices) RecordPause(server api.HostID, incarnation api.Incarnation, pause time.Duration, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	row, current := n.row(server, incarnation)
	until := now.Add(min(pause, MaxPause))
	if !current || !until.After(row.pausedUntil) {
		return
	}
	row.pausedUntil, row.at = until, now
	n.put(server, row)
}

// row returns the notice of a server, and false if a newer incarnation is known. The lock
// is held.
func (n *Notices) row(server api.HostID, incarnation api.Incarnation) (notice, bool) {
	row := n.rows[server]
	if incarnation > row.incarnation {
		row = notice{incarnation: incarnation}
	}
	return row, incarnation == row.incarnation
}

// put stores a notice, in place of the oldest one if the table is full. The lock is held.
func (n *Notices) put(server api.HostID, row notice) {
	if _, known := n.rows[server]; !known && len(n.rows) >= maxNotices {
		var oldest api.HostID
		for id, r := range n.rows {
			if oldest == "" || r.at.Before(n.rows[oldest].at) {
				oldest = id
			}
		}
		delete(n.rows, oldest)
	}
	n.rows[server] = row
}

// of returns the notice that applies to a target.
func (n *Notices) of(t *Target) notice {
	if n == nil {
		return notice{}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	row := n.rows[t.Instance]
	if t.Incarnation > row.incarnation {
		return notice{}
	}
	return row
}

func isStaying(s *targetState, q *query) bool { return !q.pool.notices.of(&s.Target).leaving }

func isUnpaused(s *targetState, q *query) bool {
	return !q.now.Before(q.pool.notices.of(&s.Target).pausedUntil)
}

// pausedWait is the time until the shortest pause ends if every open target that the demand
// does not exclude has asked for one, otherwise 0. The lock is held.
func (p *Pool) pausedWait(d *Demand, now time.Time) time.Duration {
	var shortest time.Duration
	for _, s := range p.targets {
		if !p.isAlternative(s, d) {
			continue
		}
		wait := p.notices.of(&s.Target).pausedUntil.Sub(now)
		if wait <= 0 {
			return 0
		}
		if shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}

// Reconsider has every queued request start again if no target is left that neither leaves
// nor has asked for a pause: it is refused at once if the shortest pause is too long for it.
func (p *Pool) Reconsider() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if unbound := (&Demand{}); p.hasAlternative(unbound) && p.pausedWait(unbound, p.now()) == 0 {
		return
	}
	for _, w := range p.waiting {
		w.placed <- startAgain
	}
	p.waiting = nil
}

// startAgain tells a queued request to start again.
var startAgain = &Placement{}
