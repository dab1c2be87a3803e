package ingress

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"
	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/backend"
)

// relay forwards the server's answer to the caller.
func (s *Server) relay(c *call) {
	if !c.isStream() || c.exchange.Header.StatusCode() >= fasthttp.StatusMultipleChoices {
		s.sendWhole(c)
		return
	}
	r := &relay{Server: s, call: c}
	c.stream = r
	r.events.last = c.head.LastEvent
	r.events.numbered = c.repeatable()
	// The server's head is sent with the first event only: until then the request can
	// move to another server with another head.
	if err := r.awaitFirstEvent(); err != nil {
		s.finish(c, err)
		return
	}
	if r.call.whole != nil {
		s.sendWhole(c)
		return
	}
	c.http.SetBodyStream(r, -1)
}

// sendWhole sends an answer that was read completely.
func (s *Server) sendWhole(c *call) {
	f := c.whole
	c.status, c.outcome = f.header.StatusCode(), outcomeAnswered
	if c.status < fasthttp.StatusMultipleChoices {
		s.recordAnswer(c)
	}
	response := &c.http.Response
	response.SetStatusCode(c.status)
	s.cfg.Dialect.CopyAnswer(&response.Header, &f.header)
	setForwardedRuns(c, 1)
	response.SetBodyRaw(f.body)
	s.closeIfLeaving(c)
	s.end(c)
}

// relay is the body of a stream to the caller. The HTTP library reads and closes it.
type relay struct {
	*Server
	call *call
	// events splits the answer of the current server.
	events eventSplitter
	withheldEvents
	// out[offset:] are the bytes that the HTTP library has not read yet.
	out    []byte
	offset int
	// idleSince is when the current wait for bytes began.
	idleSince time.Time
	// endErr is io.EOF after the last byte of a whole stream, else the error that ended it.
	endErr error
	// taken is set once the HTTP library has read every byte and endErr.
	taken bool
}

// awaitFirstEvent waits for the first event and copies the head of its server.
func (r *relay) awaitFirstEvent() error {
	for len(r.out) == 0 && r.endErr == nil {
		if err := r.fill(); err != nil {
			return err
		}
		if r.call.whole != nil {
			return nil
		}
	}
	c := r.call
	if r.endErr != nil && !errors.Is(r.endErr, io.EOF) && len(r.out) == 0 {
		return r.endErr
	}
	c.firstByte = time.Since(c.received)
	c.status = c.exchange.Header.StatusCode()
	c.http.Response.SetStatusCode(c.status)
	r.cfg.Dialect.CopyAnswer(&c.http.Response.Header, &c.exchange.Header)
	setForwardedRuns(c, c.running())
	r.closeIfLeaving(c)
	return nil
}

// Read implements io.Reader. The HTTP library calls it after the handler has returned, so
// that a panic would end the process.
func (r *relay) Read(p []byte) (n int, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			r.logPanic(r.call, cause)
			r.endErr = errors.Newf("the entry failed: %v", cause)
			n, err = 0, r.endErr
		}
	}()
	for r.offset == len(r.out) {
		if r.endErr != nil {
			r.taken = true
			return 0, r.endErr
		}
		r.out, r.offset = r.out[:0], 0
		if err := r.fill(); err != nil {
			r.endErr = err
		}
	}
	n = copy(p, r.out[r.offset:])
	r.offset += n
	return n, nil
}

// fill waits for bytes of the stream and forwards the whole events in them. If the
// server fails, the stream resumes at another one where that is allowed.
func (r *relay) fill() error {
	c := r.call
	if r.idleSince.IsZero() {
		r.idleSince = time.Now()
	}
	part, err := c.exchange.Next(time.Now().Add(c.pollInterval()))
	switch {
	case err == nil:
		return r.forward(part)
	case errors.Is(err, io.EOF):
		return r.endOfStream()
	case errors.Is(err, backend.ErrIdle):
		return r.seekTakeover(takeoverInterval)
	}
	return r.resume(r.exchangeError(c, err))
}

// seekTakeover lets another server take over the stream if the current one is silent.
func (r *relay) seekTakeover(wait time.Duration) error {
	c := r.call
	if r.withholds() && !time.Now().Before(c.demand.FirstBy) {
		r.dropChallenger(c)
		return nil
	}
	ch := r.challenge(c, time.Since(r.idleSince), true, wait)
	if ch == nil {
		return nil
	}
	r.logResumed()
	r.discardWithheld()
	return r.continueWith(ch)
}

// continueWith continues the stream with what a challenger has sent.
func (r *relay) continueWith(ch *challenger) error {
	r.idleSince = time.Time{}
	r.restartEvents()
	if err := r.withhold(func(dst []byte) ([]byte, error) { return r.events.continueWith(dst, ch.out, &ch.events) }); err != nil {
		return err
	}
	return r.settle()
}

func (r *relay) logResumed() {
	c := r.call
	c.resumed++
	level.Info(r.logger).Log("msg", "Stream resumed", "request", c.head.ID, "target", c.targetsTried[len(c.targetsTried)-1],
		"behind", c.lastEvent, "withheld", r.withheldCount(), "after_ms", time.Since(c.received).Milliseconds())
}

// forward takes new bytes of the current server. Bytes that complete no event are no progress: a
// faulty server may send them without end.
func (r *relay) forward(part []byte) error {
	received := r.events.received
	if err := r.withhold(func(dst []byte) ([]byte, error) { return r.events.feed(dst, part) }); err != nil {
		return r.resume(&attemptError{ran: true, suspectFor: suspectDuration, cause: err})
	}
	if r.events.received == received {
		return r.seekTakeover(minPoll)
	}
	r.idleSince = time.Time{}
	r.recordBytes(r.call)
	return r.settle()
}

// endOfStream ends the stream after the last byte of its server. A stream that is
// delimited by the end of the connection must not end within an event.
func (r *relay) endOfStream() error {
	rest := r.events.rest()
	if len(r.events.pending) > 0 && r.call.exchange.Header.ContentLength() < -1 {
		return r.resume(&attemptError{ran: true, closed: true, suspectFor: busySuspectDuration, cause: io.ErrUnexpectedEOF})
	}
	r.dropChallenger(r.call)
	r.discardWithheld()
	r.out = append(r.out, rest...)
	r.events.discardRest()
	r.endErr = io.EOF
	r.call.outcome = outcomeAnswered
	r.recordAnswer(r.call)
	return nil
}

// resume continues the stream at another server after its last event.
func (r *relay) resume(failed *attemptError) error {
	c := r.call
	r.events.discardRest()
	if err := r.afterFailure(c, failed); err != nil {
		return err
	}
	if err := r.attempt(c); err != nil {
		return err
	}
	r.idleSince = time.Time{}
	r.restartEvents()
	if c.exchange.Header.StatusCode() >= fasthttp.StatusMultipleChoices {
		if c.events == 0 {
			return nil
		}
		return errors.Newf("the server answered %d to a resumed stream", c.exchange.Header.StatusCode())
	}
	c.whole = nil
	r.logResumed()
	if c.adopted != nil {
		return r.continueWith(c.adopted)
	}
	return nil
}

// Close implements io.Closer. The HTTP library calls it when the stream was sent or
// aborted.
func (r *relay) Close() error {
	c := r.call
	switch {
	case r.connectionLost():
		c.outcome, c.reason, c.cause, c.callerLeft = outcomeLeft, reasonCallerLeft, errConnectionLost, true
	case c.outcome == "":
		c.outcome, c.reason, c.cause = outcomeBroken, "stream_broken", r.endErr
		if c.ctx.Err() != nil {
			r.setEndReason(c)
		}
	}
	if c.outcome != outcomeAnswered {
		r.cuts.record(c, r.cfg.State.Leaving())
	}
	r.end(c)
	return nil
}

// connectionLost reports whether the HTTP library gave up the stream although the server has
// not failed: it could not write to the caller.
func (r *relay) connectionLost() bool {
	sound := r.endErr == nil || errors.Is(r.endErr, io.EOF)
	return sound && !r.taken && !r.call.http.IsHead()
}

// setEndReason distinguishes a caller that left from a deadline that passed.
func (s *Server) setEndReason(c *call) {
	c.reason = codeDeadline
	if isCut(c) {
		c.reason = codeLeaving
	}
	if hasCallerLeft(c) {
		c.outcome, c.reason, c.callerLeft = outcomeLeft, reasonCallerLeft, true
	}
}
