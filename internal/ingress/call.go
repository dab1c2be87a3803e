package ingress

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/backend"
	"github.com/crocusway/crocusway/internal/placement"
	"github.com/crocusway/crocusway/internal/routing"
)

// call is one request on its way. It is used by one goroutine at a time.
type call struct {
	http     *fasthttp.RequestCtx
	head     Head
	received time.Time
	// deadline is the earlier one of the caller's and the route's.
	deadline time.Time
	ctx      context.Context
	cancel   context.CancelCauseFunc
	watch    *callerWatch

	// content identifies what the request asks for.
	content  uint64
	table    *routing.Table
	revision api.Revision
	route    *api.Route
	account  *api.PublishedAccount
	service  *api.PublishedService
	pool     *placement.Pool
	demand   placement.Demand

	// place is the place of the present attempt, exchange its request.
	place    *placement.Placement
	exchange *backend.Exchange
	answer   Answer
	// attempts counts the requests sent, ran those that a server may have run.
	attempts int
	ran      int
	// fallback is a server's own failure, passed on if no other server answers.
	fallback *fallback

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
	// cause is why the entry itself ended the call.
	cause        error
	targetsTried []string
}

// fallback is a whole answer that is kept for later.
type fallback struct {
	header fasthttp.ResponseHeader
	body   []byte
}

// isStream reports whether the route is answered by streams.
func (c *call) isStream() bool { return c.route.Kind == api.CallStream }

// repeatable reports whether the request may run once more.
func (c *call) repeatable() bool { return c.route.Repeatable() }

// maxAttempts is the number of servers that may run the request.
func (c *call) maxAttempts() int { return max(1, c.route.MaxAttempts) }

// left is the time until the deadline.
func (c *call) left() time.Duration { return time.Until(c.deadline) }

// objective is the wanted time to the answer or its first event.
func (c *call) objective() time.Duration {
	if c.route.ObjectiveMillis > 0 {
		return time.Duration(c.route.ObjectiveMillis) * time.Millisecond
	}
	return defaultObjective
}

// expectNext moves the moments of the next event: should the stream go on at another
// server, the caller counts from the last event.
func (c *call) expectNext() {
	now := time.Now()
	c.demand.Objective = now.Add(time.Duration(c.route.GapObjectiveMillis) * time.Millisecond)
	c.demand.FirstBy = now.Add(c.patience())
}

// patience is how long the caller of a stream waits for an event. Callers measure it
// by the objectives of the route.
func (c *call) patience() time.Duration {
	gap := time.Duration(c.route.GapObjectiveMillis) * time.Millisecond
	return max(minPatience, patiencePerObjective*c.objective(), patiencePerGap*gap) - patienceMargin
}

func (c *call) accountID() api.AccountID {
	if c.account == nil {
		return ""
	}
	return c.account.ID
}

// answerTokens is the expected length of the answer: the caller's estimate, else the
// usual one of the engine. The most that a caller allows says little.
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

// urgency is the account's, or the route's.
func (c *call) urgency() int {
	if c.account != nil && c.account.Urgency != nil {
		return *c.account.Urgency
	}
	return c.route.Urgency
}
