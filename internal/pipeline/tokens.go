package pipeline

import (
	"context"
	"encoding/json"
	"io"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"
	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/backend"
)

// errOutOfOrder reports a stream whose offsets skip or go backwards.
var errOutOfOrder = errors.New("stream out of order")

// tokenReader is the body of a streamed answer. The HTTP server reads it while
// it writes to the caller, and closes it at the end or when the caller disconnects.
type tokenReader struct {
	*Server
	call *call
	// buf holds encoded events, and pending the part not read yet.
	buf     []byte
	pending []byte
	ended   bool
	// writeDeadline is the current deadline of writes to the caller.
	writeDeadline time.Time
}

// Read implements io.Reader.
func (t *tokenReader) Read(p []byte) (int, error) {
	for len(t.pending) == 0 {
		if t.ended {
			return 0, io.EOF
		}
		t.buf = t.buf[:0]
		t.encodeNext()
		t.pending = t.buf
	}
	n := copy(p, t.pending)
	t.pending = t.pending[n:]
	t.extendWriteDeadline()
	return n, nil
}

// writeSlackDivisor sets how late a write deadline may be, as 1/n of the stall timeout,
// so that it need not be set again for each token.
const writeSlackDivisor = 8

// extendWriteDeadline bounds the next write by the stall timeout, up to an eighth
// more.
func (t *tokenReader) extendWriteDeadline() {
	now, stall := time.Now(), t.cfg.Settings.StallTimeout
	if !t.writeDeadline.Before(now.Add(stall)) {
		return
	}
	t.writeDeadline = now.Add(stall + stall/writeSlackDivisor)
	// An error means that the caller disconnected, which the write reports.
	_ = t.call.http.SetWriteDeadline(t.writeDeadline)
}

// encodeNext encodes the next event, or the end of the stream.
func (t *tokenReader) encodeNext() {
	defer t.recoverStream()
	ev, err := t.call.response.Stream.Next()
	if err != nil {
		t.resumeOrCut(err)
		return
	}
	if ev.Done {
		t.finish()
		return
	}
	if err := t.deliver(ev); err != nil {
		t.resumeOrCut(err)
	}
}

// recoverStream ends a stream after a panic. The handler has already returned, so
// otherwise the connection would close without an error event and the grant would
// not be released.
func (t *tokenReader) recoverStream() {
	cause := recover()
	if cause == nil {
		return
	}
	level.Error(t.logger).Log("msg", "stream panicked", "request", t.call.id, "cause", cause, "stack", string(debug.Stack()))
	t.buf = t.buf[:0]
	if !t.ended {
		t.close(api.OutcomeUnknown)
	}
	t.encodeError(&refusal{
		status:  fasthttp.StatusInternalServerError,
		code:    "internal",
		message: "the entry failed",
	})
}

// deliver encodes one event. A repetition of the last event is dropped.
func (t *tokenReader) deliver(ev backend.Event) error {
	c := t.call
	if ev.Offset == c.delivered && ev.Offset > 0 {
		return nil
	}
	if ev.Offset != c.delivered+1 {
		return errOutOfOrder
	}
	if c.firstToken == 0 {
		t.recordFirstToken()
	}
	c.delivered = ev.Offset
	t.buf = append(t.buf, "data: "...)
	t.buf = append(t.buf, ev.Data...)
	t.buf = append(t.buf, "\n\n"...)
	return nil
}

// recordFirstToken records the first token of an attempt. Progress resets the
// count of attempts to this one.
func (t *tokenReader) recordFirstToken() {
	c := t.call
	c.attempts = 1
	now := t.cfg.Clock.Now()
	c.firstToken = now.Sub(c.started)
	if c.firstTokenAt.IsZero() {
		c.firstTokenAt = now
	}
}

// finish ends a complete stream.
func (t *tokenReader) finish() {
	t.close(api.OutcomeComplete)
	t.buf = append(t.buf, "data: [DONE]\n\n"...)
}

// resumeOrCut resumes a stream that ended early, or ends it with an error event.
func (t *tokenReader) resumeOrCut(cause error) {
	err := t.resume(cause)
	if err == nil {
		t.metrics.resumes.Add(context.Background(), 1)
		return
	}
	t.metrics.cuts.Add(context.Background(), 1)
	t.awaitSuspect(t.call)
	r := refusalOf(err)
	t.call.refusal = r.code
	t.close(api.OutcomeUnknown)
	t.encodeError(r)
}

// resume continues the stream at the token offset on a further attempt.
func (t *tokenReader) resume(cause error) error {
	c := t.call
	resumable := c.target.resume || c.delivered == 0
	_ = c.response.Stream.Close()
	failed := &attemptError{sent: true, cause: cause}
	if err := t.afterFailure(c, failed); err != nil {
		return err
	}
	if !resumable {
		return failed
	}
	if err := t.attempt(c); err != nil {
		return err
	}
	return t.checkResumed()
}

// checkResumed refuses an attempt that can't continue the stream.
func (t *tokenReader) checkResumed() error {
	c := t.call
	if c.response.Stream == nil {
		return errors.Newf("the engine returned status %d and no stream for a resumed stream", c.response.Status)
	}
	if c.delivered > 0 && !c.target.resume {
		_ = c.response.Stream.Close()
		t.stopGranted(c)
		return errors.New("the next engine does not resume streams")
	}
	return nil
}

// encodeError appends the event that marks a cut stream.
func (t *tokenReader) encodeError(r *refusal) {
	body, err := json.Marshal(errorBody{Error: errorDetail{
		Message: r.message,
		Type:    errorType(r.status),
		Code:    r.code,
		Request: t.call.id,
		Outcome: api.OutcomeUnknown,
	}})
	if err != nil {
		body = []byte(`{"error":{"message":"the stream was cut"}}`)
	}
	t.buf = append(t.buf, "event: error\ndata: "...)
	t.buf = append(t.buf, body...)
	t.buf = append(t.buf, "\n\n"...)
}

// close ends the call and writes its outcome as a trailer and an SSE comment.
func (t *tokenReader) close(outcome api.Outcome) {
	c := t.call
	t.ended = true
	c.outcome = outcome
	if c.response.Stream != nil {
		_ = c.response.Stream.Close()
	}
	c.http.Response.Header.Set(api.HeaderOutcome, string(outcome))
	t.buf = append(t.buf, ": "+api.HeaderOutcome+" "+string(outcome)+"\n\n"...)
	t.end(c)
}

// Close implements io.Closer. If the caller disconnected, the request is cancelled
// on the engine and its grant released.
func (t *tokenReader) Close() error {
	if t.ended {
		return nil
	}
	t.ended = true
	c := t.call
	c.outcome = api.OutcomeUnknown
	_ = c.response.Stream.Close()
	t.stopGranted(c)
	t.end(c)
	return nil
}

// stopGranted cancels the request on the granted replica. If that cannot be
// confirmed, the grant is left to expire.
func (s *Server) stopGranted(c *call) {
	if !c.target.granted {
		return
	}
	if r := s.stop(c, c.target); !r.stopped && !r.dead {
		s.cfg.Grants.Abandon(c.target.grant)
		c.target.granted = false
	}
}
