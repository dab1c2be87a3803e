package ingress

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/backend"
	"github.com/crocusway/crocusway/internal/crashes"
	"github.com/crocusway/crocusway/internal/placement"
	"github.com/crocusway/crocusway/internal/routing"
)

// call is the state of one request. It is used by one goroutine at a time.
type call struct {
	http     *fasthttp.RequestCtx
	head     Head
	received time.Time
	// admitted is unset for a request that came after the last wait of a shutdown.
	admitted bool
	// deadline is the earlier one of the caller's and the route's.
	deadline time.Time
	ctx      context.Context
	cancel   context.CancelCauseFunc
	watch    *callerWatch

	// keys are what crashes are counted by; crashKeys fills them.
	keys []crashes.Key
	// trials are the quarantines that this request may break, as their trial.
	trials []api.Quarantine
	// crashed is set once a server has crashed under the request.
	crashed  bool
	table    *routing.Table
	revision api.Revision
	route    *api.Route
	account  *api.PublishedAccount
	service  *api.PublishedService
	pool     *placement.Pool
	links    *serviceLinks
	demand   placement.Demand

	// The embedded state is that of the current attempt; challenger is another one that is
	// made while the server of the current one is silent.
	attemptState
	challenger *challenger
	// adopted is the challenger that the current attempt began as, if its former server has
	// failed.
	adopted *challenger
	// stream is the stream to the caller, nil before the header of its answer.
	stream *relay
	// nextChallenge is the earliest time of the next challenger; budgetTaken is set if that
	// has its part of the retry budget, as the last one reached no server.
	nextChallenge time.Time
	budgetTaken   bool
	// attempts counts the requests sent, ran those that a server may have run.
	attempts int
	ran      int
	// counted is set once a retry budget has counted the request.
	counted bool
	// entriesTried are the entries that this request was forwarded to.
	entriesTried []api.EntryID
	// forwardedBy is the entry that forwarded the request to this one, empty for a caller's,
	// and ranElsewhere the runs that it reported.
	forwardedBy  api.EntryID
	ranElsewhere int
	// whole is the last answer that was read completely, and buffered the bytes that the
	// answers of all attempts take from Server.answers.
	whole    *wholeAnswer
	buffered int

	queued      time.Duration
	firstByte   time.Duration
	lastEvent   string
	events      int
	resumed     int
	status      int
	outcome     string
	reason      string
	ended       bool
	callerLeft  bool
	lastFailure error
	// denied is why another attempt was refused, if neither the route nor the number of
	// attempts tells.
	denied string
	// cause is the error with which the entry itself ended the call.
	cause        error
	targetsTried []string
}

// attemptState belongs to one attempt of a call.
type attemptState struct {
	// place is the slot on the server, or via the entry that the request is forwarded to,
	// and viaRuns the number of runs that it reports.
	place    *placement.Placement
	via      *api.EntryInfo
	viaRuns  int
	sent     time.Time
	exchange *backend.Exchange
	answer   Answer
	// stop ends the context of a challenger, nil for other attempts. challenging is set until
	// that has become the current attempt.
	stop        context.CancelFunc
	challenging bool
}

// wholeAnswer is an answer that was read completely.
type wholeAnswer struct {
	header fasthttp.ResponseHeader
	body   []byte
}

// isStream reports whether the route's answers are streams.
func (c *call) isStream() bool { return c.route.Kind == api.CallStream }

// repeatable reports whether the request may run more than once.
func (c *call) repeatable() bool { return c.route.Repeatable() }

// maxAttempts is the number of servers that may run the request.
func (c *call) maxAttempts() int { return max(1, c.route.MaxAttempts) }

// remaining is the time until the deadline.
func (c *call) remaining() time.Duration { return time.Until(c.deadline) }

// objective is the target for the time to the answer or to its first event.
func (c *call) objective() time.Duration {
	if c.route.ObjectiveMillis > 0 {
		return time.Duration(c.route.ObjectiveMillis) * time.Millisecond
	}
	return defaultObjective
}

// resetEventTimes sets the times of the next event: if the stream resumes at another
// server, the caller's wait counts from the last event.
func (c *call) resetEventTimes() {
	now := time.Now()
	c.demand.Objective = now.Add(time.Duration(c.route.GapObjectiveMillis) * time.Millisecond)
	c.demand.FirstBy = now.Add(c.eventTimeout())
}

// eventTimeout is how long the caller of a stream waits for an event. Callers derive it
// from the objectives of the route.
func (c *call) eventTimeout() time.Duration {
	gap := time.Duration(c.route.GapObjectiveMillis) * time.Millisecond
	return max(minEventTimeout, eventTimeoutPerObjective*c.objective(), eventTimeoutPerGap*gap) - eventTimeoutMargin
}

func (c *call) accountID() api.AccountID {
	if c.account == nil {
		return ""
	}
	return c.account.ID
}

// answerTokens is the expected length of the answer: the caller's estimate, or the
// usual one of the engine. MaxTokens is a poor estimate, so that it only caps these or
// replaces missing ones.
func (c *call) answerTokens() int {
	expected := c.head.LengthHint
	if expected == 0 {
		expected = c.service.Engine.UsualAnswer
	}
	if c.head.MaxTokens > 0 && (expected == 0 || expected > c.head.MaxTokens) {
		expected = c.head.MaxTokens
	}
	return expected
}

// urgency is that of the account, or else of the route.
func (c *call) urgency() int {
	if c.account != nil && c.account.Urgency != nil {
		return *c.account.Urgency
	}
	return c.route.Urgency
}

// byteBudget bounds a number of bytes that many requests share.
type byteBudget struct {
	limit int64
	used  atomic.Int64
}

// take reserves n bytes, or reports false.
func (b *byteBudget) take(n int) bool {
	if b.used.Add(int64(n)) > b.limit {
		b.used.Add(int64(-n))
		return false
	}
	return true
}

func (b *byteBudget) release(n int) { b.used.Add(int64(-n)) }
