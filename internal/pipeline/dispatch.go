package pipeline

import (
	"context"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/backend"
	"github.com/crocusway/crocusway/internal/errs"
)

// attemptError ends one attempt. The call may continue with another one.
type attemptError struct {
	// sent is set when a byte of the request may have reached the server.
	sent bool
	// answered is set when the engine answered, so that it no longer works on
	// the request.
	answered bool
	// grantEnded is set when the grant ended before or during the attempt.
	grantEnded bool
	cause      error
}

// Error implements error.
func (e *attemptError) Error() string { return "attempt failed: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *attemptError) Unwrap() error { return e.cause }

var errGrantEnded = errors.New("the grant is no longer valid")

// dispatch sends the request to the backend server of this attempt.
type dispatch struct{ *Server }

func (f dispatch) apply(c *call) error {
	c.attempts++
	c.dispatches++
	c.firstToken = 0
	ctx := f.attemptContext(c)
	req := f.request(c)
	// The process may have been paused since the grant, so the lease and the
	// grant are checked again right before the write.
	var refused error
	req.BeforeWrite = func() error {
		refused = f.recheck(c)
		return refused
	}
	c.started = f.cfg.Clock.Now()
	res, err := f.cfg.Backends.Do(ctx, req)
	if refused != nil {
		return refused
	}
	if err != nil {
		return &attemptError{sent: !errors.Is(err, backend.ErrNotSent), cause: err}
	}
	c.sent = true
	c.response = res
	return checkResponse(c, res)
}

// checkResponse fails the attempt when the answer must not reach the caller: a
// refusal or fault of the engine, or an unexpected stream.
func checkResponse(c *call, res *backend.Response) error {
	if res.Stream != nil {
		if c.isModel() && c.generation.stream && res.Status < fasthttp.StatusBadRequest {
			return nil
		}
		_ = res.Stream.Close()
		return &attemptError{sent: true, cause: errors.New("unexpected stream")}
	}
	if c.isModel() && isEngineFault(res.Status) {
		return &attemptError{sent: true, answered: true, cause: errors.Newf("the engine returned status %d", res.Status)}
	}
	return nil
}

// isEngineFault reports whether a status concerns the engine and not the caller's
// request: not found and conflict mean another model or generation.
func isEngineFault(status int) bool {
	switch status {
	case fasthttp.StatusNotFound, fasthttp.StatusConflict, fasthttp.StatusTooManyRequests:
		return true
	}
	return status >= fasthttp.StatusInternalServerError
}

// recheck fails when the work lease or the grant is no longer valid.
func (f dispatch) recheck(c *call) error {
	if !f.cfg.State.HasLease() {
		return unavailable("no_work_lease", "this entry has no work lease", nil)
	}
	if c.target.granted && !f.cfg.Grants.Valid(c.target.grant) {
		return &attemptError{cause: errGrantEnded}
	}
	return nil
}

// attemptContext returns the context of this attempt, which ends with the grant.
func (f dispatch) attemptContext(c *call) context.Context {
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

// stopResult is the result of an attempt to cancel a request.
type stopResult struct {
	// stopped is set when the request no longer runs.
	stopped bool
	// dead is set when the replica's host refuses connections: its process is
	// gone, as after a crash. A timeout or an unreachable host does not set it.
	dead bool
}

// stop cancels the request on the engine of an attempt.
func (s *Server) stop(c *call, t target) stopResult {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	err := s.cfg.Backends.Cancel(ctx, t.address, c.id)
	switch {
	case err == nil, errs.Is(err, errs.NotFound):
		return stopResult{stopped: true}
	case errors.Is(err, syscall.ECONNREFUSED) && !s.isReleased(t.grant):
		return stopResult{dead: true}
	case !s.isServing(t.grant):
		return stopResult{stopped: true}
	}
	return stopResult{}
}

// isReleased reports whether the granted replica is released or replaced in the
// newest view. A broken one is not: control may detect a crash before the entry.
func (s *Server) isReleased(g api.Grant) bool {
	group := s.cfg.State.Snapshot().Group(g.Group)
	return group == nil || group.Fencing != g.Fencing || group.Phase == api.GroupReleasing
}

// isServing reports whether the granted replica is ready in the newest view.
func (s *Server) isServing(g api.Grant) bool {
	group := s.cfg.State.Snapshot().Group(g.Group)
	return group != nil && group.Fencing == g.Fencing && group.Phase == api.GroupReady
}
