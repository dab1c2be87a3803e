package ingress

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"
	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/backend"
)

// relay passes the answer of the server on to the caller.
func (s *Server) relay(c *call) {
	if !c.isStream() || c.exchange.Header.StatusCode() >= fasthttp.StatusMultipleChoices {
		s.passWhole(c)
		return
	}
	r := &relay{Server: s, call: c}
	r.events.last = c.head.LastEvent
	// The first event decides whether this server's head is passed on: until then
	// the request can go on elsewhere under another head.
	if err := r.first(); err != nil {
		s.finish(c, err)
		return
	}
	if r.call.fallback != nil {
		s.passWhole(c)
		return
	}
	c.http.SetBodyStream(r, -1)
}

// passWhole passes on an answer that was read whole.
func (s *Server) passWhole(c *call) {
	f := c.fallback
	c.status, c.outcome = f.header.StatusCode(), "answered"
	response := &c.http.Response
	response.SetStatusCode(c.status)
	s.cfg.Dialect.CopyAnswer(&response.Header, &f.header)
	response.SetBodyRaw(f.body)
	s.closeIfLeaving(c)
	s.end(c)
}

// relay is a stream on its way to the caller. The HTTP library reads it and closes
// it in the end.
type relay struct {
	*Server
	call   *call
	events events
	// out holds bytes for the caller, from offset at on.
	out []byte
	at  int
	// waiting is since when nothing has arrived.
	waiting time.Time
	// end is io.EOF behind the last byte of a whole stream, else why it breaks off.
	end error
}

// first waits for the first event and copies the head of its server.
func (r *relay) first() error {
	for len(r.out) == 0 && r.end == nil {
		if err := r.fill(); err != nil {
			return err
		}
		if r.call.fallback != nil {
			return nil
		}
	}
	c := r.call
	if r.end != nil && !errors.Is(r.end, io.EOF) && len(r.out) == 0 {
		return r.end
	}
	c.firstByte = time.Since(c.received)
	c.status = c.exchange.Header.StatusCode()
	c.http.Response.SetStatusCode(c.status)
	r.cfg.Dialect.CopyAnswer(&c.http.Response.Header, &c.exchange.Header)
	r.closeIfLeaving(c)
	return nil
}

// Read implements io.Reader.
func (r *relay) Read(p []byte) (int, error) {
	for r.at == len(r.out) {
		if r.end != nil {
			return 0, r.end
		}
		r.out, r.at = r.out[:0], 0
		if err := r.fill(); err != nil {
			r.end = err
		}
	}
	n := copy(p, r.out[r.at:])
	r.at += n
	return n, nil
}

// fill waits for bytes of the stream and takes the whole events out of them. If
// the server fails, the stream goes on at another one where that is allowed.
func (r *relay) fill() error {
	c := r.call
	if r.waiting.IsZero() {
		r.waiting = time.Now()
	}
	part, err := c.exchange.Next(time.Now().Add(waitSlice))
	switch {
	case err == nil:
		return r.take(part)
	case errors.Is(err, io.EOF):
		return r.whole()
	case errors.Is(err, backend.ErrIdle):
		if r.isStalled(c, time.Since(r.waiting)) {
			return r.resume(&attemptError{ran: true, stalled: true, suspicion: suspicion, cause: errStalled})
		}
		return nil
	}
	return r.resume(err)
}

// take passes on the whole events among new bytes.
func (r *relay) take(part []byte) error {
	c := r.call
	r.waiting = time.Time{}
	out, err := r.events.feed(r.out, part)
	r.out = out
	if err != nil {
		return err
	}
	if c.events == 0 && r.events.count > 0 {
		c.pool.FirstEvent(c.place)
	}
	c.events, c.lastEvent = r.events.count, r.events.last
	c.expectNext()
	c.pool.Answered(c.place)
	return nil
}

// whole ends the stream behind the last byte of its server. A stream whose end is
// that of the connection must not end within an event.
func (r *relay) whole() error {
	rest := r.events.rest()
	if len(rest) > 0 && r.call.exchange.Header.ContentLength() < -1 {
		return r.resume(&attemptError{ran: true, cause: io.ErrUnexpectedEOF})
	}
	r.out = append(r.out, rest...)
	r.events.restart()
	r.end = io.EOF
	r.call.outcome = "answered"
	return nil
}

// resume takes the stream to another server behind its last event.
func (r *relay) resume(cause error) error {
	c := r.call
	var failed *attemptError
	if !errors.As(cause, &failed) {
		failed = &attemptError{ran: true, closed: true, suspicion: busySuspicion, cause: cause}
	}
	r.events.restart()
	if err := r.afterFailure(c, failed); err != nil {
		return err
	}
	if err := r.attempt(c); err != nil {
		return err
	}
	r.waiting = time.Time{}
	if c.exchange.Header.StatusCode() >= fasthttp.StatusMultipleChoices {
		if c.events == 0 {
			return nil
		}
		return errors.Newf("the server answered %d to a resumed stream", c.exchange.Header.StatusCode())
	}
	c.fallback = nil
	c.resumed++
	level.Info(r.logger).Log("msg", "Stream resumed", "request", c.head.ID, "target", c.place.Target.ID,
		"behind", c.lastEvent, "after_ms", time.Since(c.received).Milliseconds())
	return nil
}

// Close implements io.Closer: the HTTP library has sent the stream, or has given it
// up.
func (r *relay) Close() error {
	c := r.call
	if c.outcome == "" {
		c.outcome, c.reason, c.cause = "broken", "stream_broken", r.end
		if c.ctx.Err() != nil {
			r.noteDeadline(c)
		}
	}
	r.Server.end(c)
	return nil
}

// noteDeadline tells a stream that its caller left from one that ran out of time.
func (s *Server) noteDeadline(c *call) {
	c.reason = "deadline"
	if isLeft(c) {
		c.outcome, c.reason, c.callerLeft = "left", "caller_left", true
	}
}
