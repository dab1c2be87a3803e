package control

import (
	"sync"
	"time"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/placement"
)

// progressTable holds what entries report about replicas. Answers that arrive
// prove that every member works, even if its announcements don't reach control;
// stalled requests are an early sign of a lost member. It belongs to one
// leadership and is safe for concurrent use.
type progressTable struct {
	mu      sync.Mutex
	rows    map[api.GroupID]progressRow
	reports int
}

// progressRow is the newest report on one generation of a group.
type progressRow struct {
	fencing  api.Fencing
	answered time.Time
	// stalled is when an entry last reported stalled requests.
	stalled time.Time
}

func newProgressTable() *progressTable {
	return &progressTable{rows: make(map[api.GroupID]progressRow)}
}

// update stores a report. It returns whether it reports a group as stalled that
// was not stalled before.
func (t *progressTable) update(r api.ProgressReport, now time.Time) (newlyStalled bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reports++
	for _, g := range r.Groups {
		row := t.rows[g.Group]
		if g.Fencing < row.fencing {
			continue
		}
		if g.Fencing > row.fencing {
			row = progressRow{fencing: g.Fencing}
		}
		if g.AnsweredMillis >= 0 {
			answered := now.Add(-time.Duration(g.AnsweredMillis) * time.Millisecond)
			if answered.After(row.answered) {
				row.answered = answered
			}
		}
		if g.Stalled {
			newlyStalled = newlyStalled || row.stalled.IsZero() || !row.isStalled(now)
			row.stalled = now
		}
		t.rows[g.Group] = row
	}
	return newlyStalled
}

// stallReportLifetime is how long a report of a stall is valid.
const stallReportLifetime = 1500 * time.Millisecond

// isStalled reports whether requests are stalled and no entry has received an answer
// since, or within the time for which an entry waits before it reports a stall: until
// then the replica has answered another one.
func (r progressRow) isStalled(now time.Time) bool {
	return !r.stalled.IsZero() && now.Sub(r.stalled) < stallReportLifetime && r.stalled.Sub(r.answered) > placement.StallTimeout
}

// groupProgress returns what entries reported about groups.
func (t *progressTable) groupProgress(groups []api.Group, now time.Time) []api.GroupProgress {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []api.GroupProgress
	for i := range groups {
		row, ok := t.rows[groups[i].ID]
		if !ok || row.fencing != groups[i].Fencing {
			continue
		}
		p := api.GroupProgress{Group: groups[i].ID, Fencing: row.fencing, AnsweredMillis: -1, Stalled: row.isStalled(now)}
		if !row.answered.IsZero() {
			p.AnsweredMillis = max(0, now.Sub(row.answered).Milliseconds())
		}
		out = append(out, p)
	}
	return out
}

// hasReports reports whether any entry has sent a report.
func (t *progressTable) hasReports() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reports > 0
}

// evict drops the rows of groups that no longer exist.
func (t *progressTable) evict(exists func(api.GroupID) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.rows {
		if !exists(id) {
			delete(t.rows, id)
		}
	}
}
