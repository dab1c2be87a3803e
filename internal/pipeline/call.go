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

// callKind tells what a caller asks for.
type callKind int

const (
	callChat callKind = iota
	callCompletion
	callService
)

// call is one request on its way through the filters. It is used by one
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
	// alone is set for a suspect, which shares its replica with nothing.
	alone bool
	// suspect is the last report that a replica died under the call.
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
	// domainChanging is set when a failure domain was leaving or returning at
	// the receipt.
	domainChanging bool
	// firstTokenAt is when the first token of the whole answer arrived.
	firstTokenAt time.Time
	// dispatches counts the attempts over all resumptions.
	dispatches int
	// refusal is the code of the refusal, if the call was refused.
	refusal string
	outcome api.Outcome
	settled bool
	// attemptCtx is the context of the present attempt, which endAttempt ends.
	attemptCtx context.Context
	endAttempt context.CancelFunc
	// takenBack is set once a grant of the call ended under its work.
	takenBack bool
}

// target is the backend server of the present attempt.
type target struct {
	grant   api.Grant
	granted bool
	address string
	// resume is set when the engine resumes streams.
	resume bool
	// host is the server of a plain service.
	host api.HostID
}

// hasBegun reports whether the caller or an engine has already put work into
// the request, so that it should not be refused any more.
func (c *call) hasBegun() bool { return c.delivered > 0 || c.takenBack }

// isModel reports whether the call goes to an engine.
func (c *call) isModel() bool { return c.kind != callService }

// notRunOrUnknown returns the outcome of a call that did not complete.
func (c *call) notRunOrUnknown() api.Outcome {
	if c.sent {
		return api.OutcomeUnknown
	}
	return api.OutcomeNotRun
}

// grantEnded reports whether the present attempt stopped because its grant
// ended, and not because the engine failed.
func (c *call) grantEnded() bool {
	return c.attemptCtx != nil && errors.Is(context.Cause(c.attemptCtx), errGrantEnded)
}

// result describes the present attempt for its settlement.
func (c *call) result(outcome api.Outcome, failed bool) shard.Result {
	return shard.Result{Outcome: outcome, Failed: failed, FirstToken: c.firstToken}
}
