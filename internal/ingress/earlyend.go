package ingress

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/telemetry"
)

// earlyEnd says who ended a request before its whole answer, and how.
type earlyEnd struct {
	by, why string
	// denied is why no other server continued the request, empty if that was no question.
	denied string
}

// Outcomes of a call.
const (
	outcomeAnswered = "answered"
	outcomeRefused  = "refused"
	outcomeFailed   = "failed"
	outcomeBroken   = "broken"
	outcomeLeft     = "left"
)

const (
	codeDeadline     = "deadline"
	codeInternal     = "internal"
	reasonCallerLeft = "caller_left"
)

// Values of earlyEnd.by.
const (
	endedByCaller     = "caller"
	endedByDeadline   = "deadline"
	endedByTimeout    = "route_timeout"
	endedByServer     = "server"
	endedByOtherEntry = "other_entry"
	endedByEntry      = "entry"
)

// Values of earlyEnd.why.
const (
	whyLeft        = "left"
	whyConnection  = "connection_lost"
	whyLate        = "late"
	whyClosed      = "closed"
	whyUnreachable = "unreachable"
	whyRefused     = "refused"
	whyDeclined    = "declined"
	whySilent      = "silent"
	whyRejected    = "answer_rejected"
	whyInternal    = "internal"
	whyExit        = "exit"
)

// Values of earlyEnd.denied.
const (
	deniedNotRepeatable = "not_repeatable"
	deniedRuns          = "runs_used"
	deniedAttempts      = "attempts_used"
	deniedFirstEntry    = "left_to_first_entry"
	deniedTrial         = "trial"
	deniedQuarantine    = "quarantined"
	deniedBudget        = "retry_budget"
	deniedNoServer      = "no_other_server"
)

// errConnectionLost is the cause of a stream whose bytes the caller's connection did not take.
var errConnectionLost = errors.New("the connection to the caller failed while the answer was written")

// earlyEnd returns who ended a call that is over, and how.
func (c *call) earlyEnd() earlyEnd {
	var failed *attemptError
	switch {
	case c.callerLeft && errors.Is(c.cause, errConnectionLost):
		return earlyEnd{by: endedByCaller, why: whyConnection}
	case c.callerLeft:
		return earlyEnd{by: endedByCaller, why: whyLeft}
	case isCut(c):
		return earlyEnd{by: endedByEntry, why: whyExit}
	case c.reason == codeDeadline:
		return earlyEnd{by: c.deadlineOwner(), why: whyLate}
	case c.reason == codeInternal:
		return earlyEnd{by: endedByEntry, why: whyInternal}
	case errors.As(c.cause, &failed):
		return earlyEnd{by: c.failureOwner(failed), why: failed.why(), denied: c.retryDenied(failed)}
	case c.ran > 0 && errors.As(c.lastFailure, &failed):
		// The server failed, and another attempt was allowed but could not be made.
		return earlyEnd{by: c.failureOwner(failed), why: failed.why(), denied: deniedNoServer}
	case c.outcome == outcomeBroken:
		return earlyEnd{by: endedByEntry, why: whyInternal}
	}
	return earlyEnd{by: endedByEntry, why: whyRefused}
}

// deadlineOwner names the limit that passed.
func (c *call) deadlineOwner() string {
	if c.limitedBy() == limitOfRoute {
		return endedByTimeout
	}
	return endedByDeadline
}

// Values of call.limitedBy.
const (
	limitOfCaller     = "caller"
	limitOfRoute      = "route"
	limitOfFirstEntry = "first_entry"
)

// limitedBy says which limit is the earlier one. An entry that forwards a request sends the
// rest of its own limit in place of the caller's.
func (c *call) limitedBy() string {
	switch {
	case c.head.Deadline <= 0 || c.head.Deadline.Milliseconds() > c.route.TimeoutMillis:
		return limitOfRoute
	case c.forwardedBy != "":
		return limitOfFirstEntry
	}
	return limitOfCaller
}

// failureOwner says whether the other side or this entry ended a failed attempt.
func (c *call) failureOwner(failed *attemptError) string {
	switch failed.why() {
	case whySilent, whyRejected:
		return endedByEntry
	}
	last := len(c.targetsTried) - 1
	if last >= 0 && slices.Contains(c.entriesTried, api.EntryID(c.targetsTried[last])) {
		return endedByOtherEntry
	}
	return endedByServer
}

// why classifies the failure of an attempt.
func (e *attemptError) why() string {
	switch {
	case errors.Is(e.cause, errStalled):
		return whySilent
	case e.unsent:
		return whyUnreachable
	case e.declined:
		return whyDeclined
	case e.closed:
		return whyClosed
	case !e.ran:
		return whyRefused
	}
	return whyRejected
}

// retryDenied says why no attempt followed the last failure.
func (c *call) retryDenied(failed *attemptError) string {
	switch {
	case c.ran > 0 && !c.repeatable():
		return deniedNotRepeatable
	case c.ran >= c.maxAttempts():
		return deniedRuns
	case c.forwardedBy != "" && c.outcome == outcomeBroken:
		return deniedFirstEntry
	case c.attempts >= c.maxAttempts()+extraAttempts:
		return deniedAttempts
	case len(c.trials) > 0 && !failed.declined:
		return deniedTrial
	case c.denied != "":
		return c.denied
	}
	return deniedNoServer
}

// earlyEndFields are the fields of the log line of a call without a whole answer. They say
// how much of its time was used, and which limit counts.
func (s *Server) earlyEndFields(c *call, now time.Time) []any {
	end := c.earlyEnd()
	fields := []any{"ended_by", end.by, "why", end.why, "leaving", s.cfg.State.Leaving(), "body", c.bodyKind()}
	if end.denied != "" {
		fields = append(fields, "retry_denied", end.denied)
	}
	if !c.deadline.IsZero() {
		limit := c.deadline.Sub(c.received)
		used := 100 * now.Sub(c.received) / max(limit, time.Millisecond)
		fields = append(fields, "limit_ms", limit.Milliseconds(), "limit_by", c.limitedBy(), "used_percent", int64(used))
	}
	return fields
}

// bodyKind says how the request's body was delimited.
func (c *call) bodyKind() string {
	switch length := c.http.Request.Header.ContentLength(); {
	case length == -1:
		return "chunks"
	case length > 0:
		return "length"
	}
	return "none"
}

// cutCounter counts answers that end midway: their head was sent to the caller, their end
// was not.
type cutCounter struct{ cuts metric.Int64Counter }

func newCutCounter(meter metric.Meter) (cutCounter, error) {
	b := telemetry.NewInstruments(meter)
	return cutCounter{b.Counter("crocusway_ingress_cut_answers_total", "answers that ended midway, by who ended them and why")}, b.Err()
}

func (m cutCounter) record(c *call, leaving bool) {
	end := c.earlyEnd()
	m.cuts.Add(context.Background(), 1, metric.WithAttributes(attribute.String("route", c.route.Name),
		attribute.String("ended_by", end.by), attribute.String("why", end.why), attribute.Bool("leaving", leaving)))
}
