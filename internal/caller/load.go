package caller

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/crocusway/crocusway/internal/api"
)

// Load is a number of callers that each send one request after the other, so
// that the rate follows the speed of the answers. Its methods are safe for
// concurrent use.
type Load struct {
	callers []tally
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

// Call sends request number n of one caller. The request ends by itself: the
// end of the load does not cut it.
type Call func(caller, n int) (Answer, error)

// Tally counts ended requests by their end.
type Tally struct {
	// Complete are the whole answers.
	Complete int64 `json:"complete"`
	// NotRun was said not to have run.
	NotRun int64 `json:"not_run"`
	// Unknown may have run.
	Unknown int64 `json:"unknown"`
	// Cut are answers that began and did not end whole.
	Cut int64 `json:"cut"`
}

// Ended returns the number of all requests that ended.
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

// tally is the counters of one caller.
type tally struct {
	complete, notRun, unknown, cut atomic.Int64
}

// StartLoad starts callers that go on until Stop.
func StartLoad(callers int, call Call) *Load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Load{callers: make([]tally, callers), cancel: cancel}
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

func (t *tally) count(a Answer, err error) {
	switch {
	case err == nil && a.Whole():
		t.complete.Add(1)
	case a.Outcome == api.OutcomeNotRun:
		t.notRun.Add(1)
	case a.Status == http.StatusOK:
		t.cut.Add(1)
	default:
		t.unknown.Add(1)
	}
}

func (t *tally) read() Tally {
	return Tally{
		Complete: t.complete.Load(),
		NotRun:   t.notRun.Load(),
		Unknown:  t.unknown.Load(),
		Cut:      t.cut.Load(),
	}
}

// Callers returns the tally of each caller.
func (l *Load) Callers() []Tally {
	out := make([]Tally, 0, len(l.callers))
	for i := range l.callers {
		out = append(out, l.callers[i].read())
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

// Finish lets every caller end its present request and send no further one. It
// does not wait.
func (l *Load) Finish() { l.cancel() }

// Stop lets every caller end its request and returns the sum over all callers.
// It may be called again.
func (l *Load) Stop() Tally {
	l.cancel()
	l.wg.Wait()
	return l.Total()
}
