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

// notice is what a server has told; its parts may be of two incarnations.
type notice struct {
	leaving answerOrigin
	pausing answerOrigin
	// pausedUntil is the end of the last pause.
	pausedUntil time.Time
	// at is the time of the last change.
	at time.Time
}

// NewNotices returns an empty table.
func NewNotices() *Notices { return &Notices{rows: make(map[api.HostID]notice)} }

// Source says whose answer holds a notice. The answer itself does not name its incarnation.
type Source struct {
	Server api.HostID
	// Incarnation is the one that the view named when the request was sent; it may have ended.
	Incarnation api.Incarnation
	// Connected is a time at which the connection of the answer existed. The server started
	// before.
	Connected time.Time
}

// RecordLeaving records that a server leaves. It reports whether that is new.
func (n *Notices) RecordLeaving(from Source, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	row := n.rows[from.Server]
	known := row.leaving.covers(from.Incarnation, now)
	if !row.leaving.add(from, now) {
		return false
	}
	row.at = now
	n.put(from.Server, row)
	return !known
}

// RecordPause records that a server wants no requests for a time. A later notice may
// lengthen the pause, and never shortens it.
func (n *Notices) RecordPause(from Source, pause time.Duration, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	row := n.rows[from.Server]
	known := row.pausing.covers(from.Incarnation, now)
	if !row.pausing.add(from, now) {
		return
	}
	until := now.Add(min(pause, MaxPause))
	if !known || until.After(row.pausedUntil) {
		row.pausedUntil = until
	}
	row.at = now
	n.put(from.Server, row)
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

// leaves reports whether a target has said that it leaves.
func (n *Notices) leaves(t *Target, now time.Time) bool {
	if n == nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	row := n.rows[t.Instance]
	return row.leaving.covers(t.Incarnation, now)
}

// pausedUntil returns the end of the pause that a target has asked for, zero without one.
func (n *Notices) pausedUntil(t *Target, now time.Time) time.Time {
	if n == nil {
		return time.Time{}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	row := n.rows[t.Instance]
	if !row.pausing.covers(t.Incarnation, now) {
		return time.Time{}
	}
	return row.pausedUntil
}

func isStaying(s *targetState, q *query) bool { return !q.pool.notices.leaves(&s.Target, q.now) }

func isUnpaused(s *targetState, q *query) bool {
	return !q.now.Before(q.pool.notices.pausedUntil(&s.Target, q.now))
}

// pausedWait is the time until the shortest pause ends if every open target that the demand
// does not exclude has asked for one, otherwise 0. The lock is held.
func (p *Pool) pausedWait(d *Demand, now time.Time) time.Duration {
	var shortest time.Duration
	for _, s := range p.targets {
		if !p.isAlternative(s, d) {
			continue
		}
		wait := p.notices.pausedUntil(&s.Target, now).Sub(now)
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
