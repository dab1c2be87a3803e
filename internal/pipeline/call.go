package pipeline

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/backend"
	"github.com/crocusway/crocusway/internal/entry"
	"github.com/crocusway/crocusway/internal/shard"
)

// callKind is the kind of a caller's request.
type callKind int

const (
	callChat callKind = iota
	callCompletion
	callService
)

// call is the state of one request as it passes the filters. It is used by one
// goroutine at a time.
type call struct {
	http     *fasthttp.RequestCtx
	kind     callKind
	id       api.RequestID
	received time.Time
	deadline time.Time
	ctx      context.Context
	cancel   context.CancelFunc
	snapshot *entry.Snapshot

	account *api.Account
	body    []byte

	// Set for model requests.
	generation generation
	// Set for calls to plain services.
	service serviceCall

	// repeatable is set when the request may be dispatched more than once.
	repeatable  bool
	fingerprint string
	// alone is set for a suspect, which gets a replica without other requests.
	alone bool
	// suspect is the last report of a replica that crashed during the call.
	suspect  *api.SuspectRequest
	record   *api.Record
	replayed bool

	excluded []api.GroupID
	attempts int
	// sent is set once a byte of the request may have reached a backend server.
	sent     bool
	target   target
	started  time.Time
	response *backend.Response
	// delivered is the number of tokens passed on to the caller.
	delivered  int
	firstToken time.Duration
	// domainChanging is set when a failure domain was leaving or returning as
	// the request arrived.
	domainChanging bool
	// firstTokenAt is when the first token arrived, over all attempts.
	firstTokenAt time.Time
	// dispatches counts all attempts; attempts restarts after progress.
	dispatches int
	// refusal is the code of the refusal, if the call was refused.
	refusal string
	outcome api.Outcome
	settled bool
	// attemptCtx is the context of the current attempt, which endAttempt cancels.
	attemptCtx context.Context
	endAttempt context.CancelFunc
	// interrupted is set once a grant of the call ended after the request was sent.
	interrupted bool
}

// target is the backend server of the current attempt.
type target struct {
	grant   api.Grant
	granted bool
	address string
	// resume is set when the engine resumes streams.
	resume bool
	// host is the server of a plain service.
	host api.HostID
}

// hasProgress reports whether tokens were delivered or an attempt was
// interrupted. Such a call should no longer be refused.
func (c *call) hasProgress() bool { return c.delivered > 0 || c.interrupted }

// isModel reports whether the call goes to an engine.
func (c *call) isModel() bool { return c.kind != callService }

// notRunOrUnknown returns the outcome of a call that did not complete.
func (c *call) notRunOrUnknown() api.Outcome {
	if c.sent {
		return api.OutcomeUnknown
	}
	return api.OutcomeNotRun
}

// grantEnded reports whether the current attempt stopped because its grant
// ended, and not because the engine failed.
func (c *call) grantEnded() bool {
	return c.attemptCtx != nil && errors.Is(context.Cause(c.attemptCtx), errGrantEnded)
}

// result returns the result with which the current attempt's grant is settled.
func (c *call) result(outcome api.Outcome, failed bool) shard.Result {
	return shard.Result{Outcome: outcome, Failed: failed, FirstToken: c.firstToken}
}
