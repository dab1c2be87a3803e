package pipeline

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/backend"
)

// attemptError ends one attempt. The call may go on with another one.
type attemptError struct {
	// sent is set when a byte of the request may have reached the server.
	sent bool
	// response is a whole answer that says the server failed, if there is one.
	response *backend.Response
	// grantEnded is set when the grant ended under the attempt.
	grantEnded bool
	cause      error
}

// Error implements error.
func (e *attemptError) Error() string { return "attempt failed: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *attemptError) Unwrap() error { return e.cause }

var errGrantEnded = errors.New("the grant ended")

// dispatch sends the request to the backend server of this attempt.
type dispatch struct{ *Server }

func (f dispatch) apply(c *call) error {
	c.attempts++
	ctx := f.bind(c)
	req := f.request(c)
	// The process may have been stopped for long since the last check.
	if err := f.recheck(c); err != nil {
		return err
	}
	c.started = f.cfg.Clock.Now()
	res, err := f.cfg.Backends.Do(ctx, req)
	if err != nil {
		return &attemptError{sent: !errors.Is(err, backend.ErrNotSent), cause: err}
	}
	c.sent = true
	if c.isModel() && res.Stream == nil && res.Status >= fasthttp.StatusInternalServerError {
		return &attemptError{sent: true, response: res, cause: errors.Newf("the engine answered %d", res.Status)}
	}
	c.response = res
	return nil
}

// recheck refuses when the work lease or the grant has run out meanwhile.
func (f dispatch) recheck(c *call) error {
	if !f.cfg.State.HasLease() {
		return unavailable("no_work_lease", "this entry has no work lease", nil)
	}
	if c.target.granted && !f.cfg.Grants.Valid(c.target.grant) {
		return &attemptError{cause: errGrantEnded}
	}
	return nil
}

// bind returns the context of this attempt, which ends with the grant.
func (f dispatch) bind(c *call) context.Context {
	ctx, cancel := context.WithCancelCause(c.ctx)
	c.attemptCtx = ctx
	c.endAttempt = func() { cancel(nil) }
	if !c.target.granted {
		return ctx
	}
	ended := f.cfg.Grants.Ended(c.target.grant)
	if ended == nil {
		return ctx
	}
	go func() {
		select {
		case <-ended:
			cancel(errGrantEnded)
		case <-ctx.Done():
		}
	}()
	return ctx
}

func (f dispatch) request(c *call) backend.Request {
	r := backend.Request{
		ID:          c.id,
		Address:     c.target.address,
		Method:      string(c.http.Method()),
		Path:        string(c.http.Path()),
		ContentType: string(c.http.Request.Header.ContentType()),
		Body:        c.body,
		Deadline:    c.deadline,
	}
	if c.kind == callService {
		r.Path = c.service.path
		r.IdempotencyKey = string(c.http.Request.Header.Peek(api.HeaderIdempotencyKey))
		return r
	}
	r.Fencing = c.target.grant.Fencing
	r.Priority = c.target.grant.Priority
	r.Offset = c.delivered
	return r
}

// stopResult tells what became of a cancelled request: the engine confirmed
// that it no longer runs, or the replica is dead, or neither.
type stopResult struct {
	stopped bool
	dead    bool
}

// stop cancels the request on the engine of an attempt.
func (s *Server) stop(c *call, t target) stopResult {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	err := s.cfg.Backends.Cancel(ctx, t.address, c.id)
	if err == nil {
		return stopResult{stopped: true}
	}
	return stopResult{dead: errors.Is(err, backend.ErrNotSent) || !s.isServing(t.grant)}
}

// isServing reports whether the newest view still has the granted replica.
func (s *Server) isServing(g api.Grant) bool {
	group := s.cfg.State.Snapshot().Group(g.Group)
	return group != nil && group.Fencing == g.Fencing && group.Phase == api.GroupReady
}
