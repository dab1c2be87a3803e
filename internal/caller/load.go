package caller

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/crocusway/crocusway/internal/api"
)

// Load is a closed-loop load: each caller sends its next request when the last one
// has ended. Its methods are safe for concurrent use.
type Load struct {
	callers []counters
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

// Call sends request number n of one caller. Stopping the load does not cancel a
// running request.
type Call func(caller, n int) (Answer, error)

// Tally counts finished requests by result.
type Tally struct {
	// Complete counts the complete answers.
	Complete int64 `json:"complete"`
	// NotRun counts the requests with the outcome that they did not run.
	NotRun int64 `json:"not_run"`
	// Unknown counts the other failures; these requests may have run.
	Unknown int64 `json:"unknown"`
	// Cut counts the answers with status 200 that are not complete.
	Cut int64 `json:"cut"`
}

// Ended returns the number of finished requests.
func (t Tally) Ended() int64 { return t.Complete + t.NotRun + t.Unknown + t.Cut }

// Add returns the sum of two tallies.
func (t Tally) Add(other Tally) Tally {
	return Tally{
		Complete: t.Complete + other.Complete,
		NotRun:   t.NotRun + other.NotRun,
		Unknown:  t.Unknown + other.Unknown,
		Cut:      t.Cut + other.Cut,
	}
}

// counters counts the finished requests of one caller.
type counters struct {
	complete, notRun, unknown, cut atomic.Int64
}

// StartLoad starts callers that send requests until Finish or Stop.
func StartLoad(callers int, call Call) *Load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Load{callers: make([]counters, callers), cancel: cancel}
	for i := range callers {
		l.wg.Go(func() { l.run(ctx, i, call) })
	}
	return l
}

func (l *Load) run(ctx context.Context, i int, call Call) {
	for n := 0; ctx.Err() == nil; n++ {
		answer, err := call(i, n)
		l.callers[i].count(answer, err)
	}
}

func (c *counters) count(a Answer, err error) {
	switch {
	case err == nil && a.IsComplete():
		c.complete.Add(1)
	case a.Outcome == api.OutcomeNotRun:
		c.notRun.Add(1)
	case a.Status == http.StatusOK:
		c.cut.Add(1)
	default:
		c.unknown.Add(1)
	}
}

func (c *counters) snapshot() Tally {
	return Tally{
		Complete: c.complete.Load(),
		NotRun:   c.notRun.Load(),
		Unknown:  c.unknown.Load(),
		Cut:      c.cut.Load(),
	}
}

// Callers returns the tally of each caller.
func (l *Load) Callers() []Tally {
	out := make([]Tally, 0, len(l.callers))
	for i := range l.callers {
		out = append(out, l.callers[i].snapshot())
	}
	return out
}

// Total returns the sum over all callers.
func (l *Load) Total() Tally {
	var total Tally
	for _, t := range l.Callers() {
		total = total.Add(t)
	}
	return total
}

// Finish makes every caller stop after its current request. It does not wait.
func (l *Load) Finish() { l.cancel() }

// Stop calls Finish, waits for the running requests and returns the sum over all
// callers. It is idempotent.
func (l *Load) Stop() Tally {
	l.cancel()
	l.wg.Wait()
	return l.Total()
}
