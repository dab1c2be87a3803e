package bench

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/caller"
	"github.com/crocusway/crocusway/internal/standin"
)

// pathEnding is how one request ended for its caller.
type pathEnding int

const (
	// endComplete is a complete answer, endRefused a refusal with the outcome
	// not-run.
	endComplete pathEnding = iota
	endRefused
	// endCut is an answer that began but is not complete.
	endCut
	// endFailed is any other failure.
	endFailed
	// endGaveUp is a request whose caller timed out before the complete answer.
	endGaveUp
	// endWrong is a complete answer with tokens that are not the request's own.
	endWrong
	endingCount
)

// pathCall is one request of an experiment.
type pathCall struct {
	account string
	prompt  string
	tokens  int
	// callerTimeout is how long the caller waits for the complete answer, 0 for
	// a default.
	callerTimeout time.Duration
}

// callerTimeoutMargin is the time before the caller's timeout in which an
// entry, which received the deadline in whole milliseconds, may end the
// request.
const callerTimeoutMargin = 50 * time.Millisecond

// timedOut reports whether a request that began at the given time has reached
// its caller's timeout, less the margin.
func (c pathCall) timedOut(began time.Time) bool {
	return c.callerTimeout > 0 && time.Since(began) >= c.callerTimeout-callerTimeoutMargin
}

// timeout returns the caller's timeout, or a default.
func (c pathCall) timeout(byDefault time.Duration) time.Duration {
	if c.callerTimeout > 0 {
		return c.callerTimeout
	}
	return byDefault
}

// pathResult is the result of a request as its caller saw it.
type pathResult struct {
	ending pathEnding
	status int
	// firstToken counts from the arrival; 0 without a token.
	firstToken time.Duration
	gaps       []time.Duration
}

// onTime reports whether the answer is complete and its first token arrived
// within firstTokenBound.
func (r pathResult) onTime() bool {
	return r.ending == endComplete && r.firstToken <= firstTokenBound*time.Millisecond
}

// classifyAnswer returns how a request ended. Complete answers are compared
// with the tokens that a stand-in generates for the request's id.
func classifyAnswer(a caller.Answer, err error, tokens int, complete bool) pathEnding {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return endGaveUp
	case err == nil && complete && a.Text() == standin.AnswerText(a.Request, tokens):
		return endComplete
	case err == nil && complete:
		return endWrong
	case a.Status != http.StatusOK && a.Outcome == api.OutcomeNotRun:
		return endRefused
	case len(a.Tokens) > 0:
		return endCut
	default:
		return endFailed
	}
}

// Histogram bounds of latencies, in microseconds, and their precision.
const (
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// pathTally sums the results of one kind of caller. It is safe for concurrent
// use.
type pathTally struct {
	mu       sync.Mutex
	endings  [endingCount]int
	byStatus map[int]int
	onTime   int
	// inWindow counts complete answers that ended before the arrivals did.
	inWindow   int
	firstToken *hdrhistogram.Histogram
	gaps       *hdrhistogram.Histogram
}

func newPathTally() *pathTally {
	return &pathTally{
		byStatus:   make(map[int]int),
		firstToken: hdrhistogram.New(1, histogramMax, histogramDigits),
		gaps:       hdrhistogram.New(1, histogramMax, histogramDigits),
	}
}

// add counts one result; inWindow reports that it ended before the arrivals
// did.
func (t *pathTally) add(r pathResult, inWindow bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endings[r.ending]++
	t.byStatus[r.status]++
	if r.onTime() {
		t.onTime++
	}
	if inWindow && r.ending == endComplete {
		t.inWindow++
	}
	if r.firstToken > 0 {
		record(t.firstToken, r.firstToken)
	}
	for _, gap := range r.gaps {
		record(t.gaps, gap)
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), histogramMax))
}

// offered returns the number of requests.
func (t *pathTally) offered() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, count := range t.endings {
		n += count
	}
	return n
}

func (t *pathTally) count(e pathEnding) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.endings[e]
}

// share returns the fraction of the offered requests with an ending, 0 to 1.
func (t *pathTally) share(e pathEnding) float64 {
	offered := t.offered()
	if offered == 0 {
		return 0
	}
	return float64(t.count(e)) / float64(offered)
}

// withStatus counts the answers with an HTTP status.
func (t *pathTally) withStatus(status int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byStatus[status]
}

// goodput returns the rate of complete answers within a window, in answers a
// second.
func (t *pathTally) goodput(window time.Duration) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(t.inWindow) / window.Seconds()
}

// onTimeShare returns the fraction of the offered requests whose answer is
// complete and on time, 0 to 1.
func (t *pathTally) onTimeShare() float64 {
	offered := t.offered()
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(t.onTime) / float64(max(offered, 1))
}

// millis returns a quantile of a histogram, in milliseconds.
func millis(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}

// latencyFigures returns the first-token and gap quantiles under a prefix.
func (t *pathTally) latencyFigures(prefix string) []Figure {
	t.mu.Lock()
	defer t.mu.Unlock()
	return []Figure{
		{Name: prefix + "first_token_p50", Unit: "ms", Value: millis(t.firstToken, 50)},
		{Name: prefix + "first_token_p95", Unit: "ms", Value: millis(t.firstToken, 95)},
		{Name: prefix + "first_token_p99", Unit: "ms", Value: millis(t.firstToken, 99)},
		{Name: prefix + "token_gap_p95", Unit: "ms", Value: millis(t.gaps, 95)},
	}
}

// endingFigures returns how the requests ended under a prefix.
func (t *pathTally) endingFigures(prefix string) []Figure {
	return []Figure{
		{Name: prefix + "offered", Unit: "requests", Value: float64(t.offered())},
		{Name: prefix + "complete", Unit: "ratio", Value: t.share(endComplete)},
		{Name: prefix + "on_time", Unit: "ratio", Value: t.onTimeShare()},
		{Name: prefix + "refused", Unit: "ratio", Value: t.share(endRefused)},
		{Name: prefix + "cut", Unit: "requests", Value: float64(t.count(endCut))},
		{Name: prefix + "failed", Unit: "requests", Value: float64(t.count(endFailed))},
		{Name: prefix + "gave_up", Unit: "requests", Value: float64(t.count(endGaveUp))},
		{Name: prefix + "wrong", Unit: "requests", Value: float64(t.count(endWrong))},
	}
}

// pathTarget serves requests: a system or the baseline.
type pathTarget interface {
	call(ctx context.Context, c pathCall) pathResult
}

// pathStream is one open-loop stream of arrivals.
type pathStream struct {
	// rate is the mean number of arrivals a second.
	rate  float64
	start time.Duration
	end   time.Duration
	// next builds the request of an arrival.
	next  func(r *rand.Rand) pathCall
	tally *pathTally
}

// offer sends a stream's requests at their arrival times, whether earlier ones
// were answered or not, and waits for the answers.
func offer(ctx context.Context, target pathTarget, s pathStream, seed int64) {
	rng := rand.New(rand.NewPCG(uint64(seed), uint64(s.rate*1000)))
	began := time.Now()
	at := s.start
	var wg sync.WaitGroup
	for {
		at += time.Duration(rng.ExpFloat64() / s.rate * float64(time.Second))
		if at >= s.end || !sleepUntil(ctx, began.Add(at)) {
			break
		}
		c := s.next(rng)
		arrival := began.Add(at)
		wg.Go(func() {
			late := time.Since(arrival)
			r := target.call(ctx, c)
			if r.firstToken > 0 {
				r.firstToken += late
			}
			s.tally.add(r, time.Since(began) <= s.end)
		})
	}
	wg.Wait()
}

// offerAll runs several streams at once.
func offerAll(ctx context.Context, target pathTarget, seed int64, streams ...pathStream) {
	var wg sync.WaitGroup
	for i, s := range streams {
		wg.Go(func() { offer(ctx, target, s, seed+int64(i)<<32) })
	}
	wg.Wait()
}

// sleepUntil sleeps until the given time and reports whether ctx had not ended
// by then.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
