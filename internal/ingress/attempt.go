package ingress

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"
	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/backend"
	"github.com/crocusway/crocusway/internal/errs"
	"github.com/crocusway/crocusway/internal/placement"
)

// attemptError is the failure of one attempt. The call may continue with another one.
type attemptError struct {
	// ran is set when the server may have run the request, unsent when not a byte can have
	// reached it, and declined when another entry has not taken the request.
	ran      bool
	unsent   bool
	declined bool
	// stalled is set when the server makes no progress, closed when it closed the
	// connection.
	stalled bool
	closed  bool
	// suspectFor is how long the target gets no new requests.
	suspectFor time.Duration
	cause      error
}

// Error implements error.
func (e *attemptError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *attemptError) Unwrap() error { return e.cause }

var (
	errStalled    = errors.New("the server has stalled")
	errUnverified = errors.New("the answer has no seal, or has a content encoding")
)

// attempt sends the request to one server after the other, until one answers or no
// further attempt is allowed. On success the header of the answer is read, and any
// answer but a stream is read whole.
func (s *Server) attempt(c *call) error {
	for {
		err := s.begin(c)
		if err != nil {
			return err
		}
		switch {
		case c.adopted == nil || !c.adopted.headed:
			err = s.receive(c)
		case !c.isStream():
			err = s.readAnswer(c)
		}
		if err == nil {
			s.instruments.recordAttempt("answered")
			return nil
		}
		var failed *attemptError
		if !errors.As(err, &failed) {
			return err
		}
		if err := s.afterFailure(c, failed); err != nil {
			return err
		}
	}
}

// begin makes a challenger the current attempt, or sends the request to another server.
// It returns once one has the request.
func (s *Server) begin(c *call) error {
	for {
		var err error
		if c.adopted, err = s.adoptChallenger(c); err != nil || c.adopted != nil {
			return err
		}
		if err := s.acquire(c); err != nil {
			return err
		}
		if err := s.recheckQuarantine(c); err != nil {
			s.release(c)
			if c.lastFailure != nil && c.ran > c.ranElsewhere && !s.shutdown.cut.Load() {
				c.denied = deniedQuarantine
				return c.lastFailure
			}
			return err
		}
		if err = s.open(c); err == nil {
			return nil
		}
		var failed *attemptError
		if !errors.As(err, &failed) {
			return err
		}
		if err := s.afterFailure(c, failed); err != nil {
			return err
		}
	}
}

// acquire gets a placement on a target from the pool.
func (s *Server) acquire(c *call) error {
	if s.linksLost(c) {
		return s.acquireEntry(c)
	}
	if !c.counted {
		c.counted = true
		s.budget(c.service.Name).count()
	}
	began := time.Now()
	place, err := c.pool.Acquire(c.ctx, c.demand)
	if err != nil {
		c.queued += time.Since(began)
		if s.linksLost(c) && c.ctx.Err() == nil {
			return s.acquireEntry(c)
		}
		return err
	}
	c.queued += place.Waited
	s.placed(c, place)
	return nil
}

// placed makes a slot that of the current attempt.
func (s *Server) placed(c *call, place *placement.Placement) {
	c.place = place
	c.attempts++
	c.targetsTried = append(c.targetsTried, place.Target.ID)
	level.Debug(s.logger).Log("msg", "Request placed", "request", c.head.ID, "target", place.Target.ID,
		"generation", place.Target.Generation, "running", place.Running, "prefill", place.Prefill,
		"expected_ms", place.Expected.Milliseconds(), "queued_ms", place.Waited.Milliseconds(), "cold", place.Target.Cold,
		"revision", c.revision)
}

// open sends the request to the server, or to the entry, of the current attempt.
func (s *Server) open(c *call) error {
	request, err := s.request(c)
	if err != nil {
		return err
	}
	c.sent, c.viaRuns = time.Now(), 0
	exchange, err := s.cfg.Backends.Send(c.ctx, request)
	return s.opened(c, exchange, err)
}

// request returns the request of the current attempt as it is sent.
func (s *Server) request(c *call) (backend.Forward, error) {
	request := backend.Forward{
		Body:     c.http.Request.Body(),
		Fresh:    !c.repeatable(),
		HeadOnly: string(c.http.Method()) == fasthttp.MethodHead,
		Matches:  func(h *fasthttp.ResponseHeader) bool { return s.answerMatches(c, h) },
	}
	if c.via == nil {
		request.Address, request.Head = c.place.Target.Address, s.requestHead(c)
		return request, nil
	}
	var err error
	request.Address = c.via.ForwardAddress
	request.Head, err = s.forwardHead(c)
	return request, err
}

// opened records the result of sending the request of the current attempt.
func (s *Server) opened(c *call, exchange *backend.Exchange, err error) error {
	notSent := errors.Is(err, backend.ErrNotSent)
	if err == nil {
		if c.via != nil {
			c.counted = true
		} else if !exchange.Reused() {
			s.recordDial(c, true)
		}
		c.exchange = exchange
		return nil
	}
	failed := &attemptError{ran: !notSent, unsent: notSent, cause: err}
	if c.via == nil {
		failed.suspectFor = suspectDuration
		if notSent && c.ctx.Err() == nil {
			s.recordDial(c, false)
		}
	}
	return failed
}

// receive waits for the header of the answer, checks it and reads any answer but a stream
// whole.
func (s *Server) receive(c *call) error {
	won, err := s.awaitHeader(c)
	switch {
	case err != nil:
		return err
	case !won:
		return s.inspect(c)
	case !c.isStream():
		return s.readAnswer(c)
	}
	return nil
}

// inspect records what the header of an answer tells, and accepts the answer or fails the
// attempt.
func (s *Server) inspect(c *call) error {
	if c.via != nil {
		return s.inspectForwarded(c)
	}
	s.recordHeard(c)
	c.answer = s.cfg.Dialect.DecodeAnswer(&c.exchange.Header)
	if c.answer.Sealed {
		s.crashes.Survived(c.server(), c.sent)
	}
	s.recordLimit(c)
	s.recordNotices(c, c.place.Target.Instance, c.place.Target.Incarnation)
	return s.checkAnswer(c)
}

// recordLimit records the limit that an answer names. Only the answer to a request that
// ran shows by its absence that the limit has ended.
func (s *Server) recordLimit(c *call) {
	a := &c.answer
	if a.OtherInstance || a.LimitUnreadable || !a.HasLimit && !a.Sealed {
		if a.LimitUnreadable {
			level.Warn(s.logger).Log("msg", "Unreadable limit of a server ignored", "request", c.head.ID, "target", c.place.Target.ID)
		}
		return
	}
	if c.pool.RecordLimit(c.place, a.Limit, a.HasLimit) {
		level.Info(s.logger).Log("msg", "Limit of a server changed", "request", c.head.ID, "target", c.place.Target.ID,
			"generation", c.place.Target.Generation, "limited", a.HasLimit, "limit", a.Limit)
	}
}

// answerMatches reports whether an answer has the ID of this request, or no ID.
func (s *Server) answerMatches(c *call, h *fasthttp.ResponseHeader) bool {
	id := s.cfg.Dialect.DecodeAnswer(h).RequestID
	return id == "" || id == c.head.ID
}

// requestHead returns the request line and header lines for the current target.
func (s *Server) requestHead(c *call) []byte {
	return s.appendHead(make([]byte, 0, headSize), c, c.place.Target.Instance)
}

// appendHead appends the request line and header lines for an instance, or for another
// entry if instance is empty.
func (s *Server) appendHead(dst []byte, c *call, instance api.HostID) []byte {
	h := &c.http.Request.Header
	dst = append(dst, h.Method()...)
	dst = append(dst, ' ')
	dst = append(dst, h.RequestURI()...)
	dst = append(dst, " HTTP/1.1\r\nHost: "...)
	dst = append(dst, h.Host()...)
	dst = append(dst, "\r\n"...)
	out := Outgoing{
		Deadline:  max(c.remaining(), time.Millisecond),
		Instance:  instance,
		Account:   c.accountID(),
		LastEvent: c.lastEvent,
		Urgency:   c.urgency(),
		BodyBytes: len(c.http.Request.Body()),
	}
	if out.BodyBytes == 0 && (h.IsGet() || h.IsHead()) {
		out.BodyBytes = -1
	}
	return s.cfg.Dialect.AppendRequest(dst, h, out)
}

// headSize is the usual size of a request head, in bytes.
const headSize = 768

// awaitHeader waits for the header of the answer. It reports whether a challenger has
// answered first, whose header is checked already.
func (s *Server) awaitHeader(c *call) (won bool, err error) {
	sent := time.Now()
	for {
		err := c.exchange.AwaitHeader(time.Now().Add(c.pollInterval()))
		if err == nil {
			if c.challenger != nil && (!c.isStream() || !c.challenger.isSent()) {
				s.dropChallenger(c)
			}
			return false, nil
		}
		if !errors.Is(err, backend.ErrIdle) {
			return false, s.exchangeError(c, err)
		}
		if s.challenge(c, time.Since(sent), false, takeoverInterval) != nil {
			return true, nil
		}
	}
}

// exchangeError returns the error of an exchange that ended early. A server that sends a malformed
// answer has not closed the connection, and not crashed.
func (s *Server) exchangeError(c *call, err error) *attemptError {
	if c.ctx.Err() != nil {
		return &attemptError{ran: true, cause: err}
	}
	isMalformed := errors.Is(err, backend.ErrMalformed)
	return &attemptError{ran: true, closed: !isMalformed, suspectFor: busySuspectDuration, cause: err}
}

// isStalled reports whether a server that has sent nothing on this request for a time
// counts as stalled. It is true only for a request that may run again.
func (s *Server) isStalled(c *call, silent time.Duration) bool {
	switch {
	case c.via != nil:
		return c.isStream() && c.viaRuns > 0 && silent >= forwardStallTimeout && c.mayRunAgain(c.viaRuns)
	case !c.mayRunAgain(1):
		return false
	case s.linksLost(c):
		return silent >= replicaStallTimeout
	case !c.isStream():
		return false
	}
	least := replicaStallTimeout
	if c.events == 0 && c.lastEvent == "" {
		least = max(least, firstEventFactor*c.place.Expected)
	}
	target, gone := c.pool.Silence(c.place)
	if !gone && (silent < least || target < replicaStallTimeout && silent < max(requestStallTimeout, least)) {
		return false
	}
	if gone || target >= abandonTimeout {
		return true
	}
	demand := c.demand
	demand.Exclude = append(slices.Clone(demand.Exclude), c.place.Target.ID)
	return c.pool.HasOther(&demand)
}

// mayRunAgain reports whether the request may run on one more server, with more
// runs than are counted already.
func (c *call) mayRunAgain(more int) bool {
	return c.repeatable() && c.ran+more < c.maxAttempts()
}

// checkAnswer accepts the answer of a server, or fails the attempt.
func (s *Server) checkAnswer(c *call) error {
	status := c.exchange.Header.StatusCode()
	switch {
	case c.answer.OtherInstance:
		return &attemptError{suspectFor: suspectDuration, cause: errors.New("another server now has the address")}
	case c.answer.Refused:
		cause := fmt.Sprintf("the server refused the request with %d", status)
		if c.answer.Fault != "" {
			return &attemptError{stalled: true, suspectFor: suspectDuration, cause: errors.Newf("%s, member %s is lost", cause, c.answer.Fault)}
		}
		return &attemptError{suspectFor: busySuspectDuration, cause: errors.New(cause)}
	case !c.answer.Sealed || len(c.exchange.Header.ContentEncoding()) > 0:
		return &attemptError{ran: true, suspectFor: busySuspectDuration, cause: errUnverified}
	case c.isStream() && status < fasthttp.StatusMultipleChoices:
		return nil
	case c.challenging && c.isStream():
		return &attemptError{ran: true, cause: errors.Newf("the server answered %d", status)}
	case c.challenging:
		// Read once it is the current attempt: until then the other server may answer.
		return nil
	}
	return s.readAnswer(c)
}

// readAnswer reads an answer that is not a stream. A 5xx answer fails the attempt if
// the request may run again.
func (s *Server) readAnswer(c *call) error {
	var body []byte
	if length := c.exchange.Header.ContentLength(); length > s.maxAnswer {
		return s.answerTooLarge(length)
	}
	for {
		part, err := c.exchange.Next(time.Now().Add(pollInterval))
		if errors.Is(err, io.EOF) {
			break
		}
		if errors.Is(err, backend.ErrIdle) {
			continue
		}
		if err != nil {
			return s.exchangeError(c, err)
		}
		if c.firstByte == 0 {
			c.firstByte = time.Since(c.received)
			s.recordFirst(c)
		}
		s.recordBytes(c)
		if body, err = s.appendAnswer(c, body, part); err != nil {
			return err
		}
	}
	f := &wholeAnswer{body: body}
	c.exchange.Header.CopyTo(&f.header)
	c.whole = f
	status := c.exchange.Header.StatusCode()
	if status >= fasthttp.StatusInternalServerError && c.via == nil && c.mayRunAgain(1) {
		return &attemptError{ran: true, cause: errors.Newf("the server answered %d", status)}
	}
	return nil
}

const (
	// doubledAnswer is the size up to which the buffer of an answer is doubled, in bytes; later
	// it grows by half.
	doubledAnswer = 1 << 20
	// answerBuffer is the first size of the buffer of an answer of several parts, in bytes.
	answerBuffer = 4 << 10
)

// appendAnswer appends a part of an answer that is read whole. Buffers are counted before they
// are allocated.
func (s *Server) appendAnswer(c *call, body, part []byte) ([]byte, error) {
	size := len(body) + len(part)
	if size > s.maxAnswer {
		return nil, s.answerTooLarge(size)
	}
	if size <= cap(body) {
		return append(body, part...), nil
	}
	grown := size
	if len(body) > 0 {
		grown = max(size, answerBuffer, 2*cap(body))
		if cap(body) >= doubledAnswer {
			grown = max(size, cap(body)+cap(body)/2)
		}
	}
	grown = min(grown, s.maxAnswer)
	if !s.answers.take(grown) {
		return nil, s.answerTooLarge(size)
	}
	c.buffered += grown - cap(body)
	s.answers.release(cap(body))
	return append(append(make([]byte, 0, grown), body...), part...), nil
}

// answerTooLarge is the failure of an attempt whose answer is not read to its end.
func (s *Server) answerTooLarge(bytes int) *attemptError {
	return &attemptError{
		ran: true, suspectFor: busySuspectDuration,
		cause: errors.Newf("answer of %d bytes or more exceeds the limit of %d, or all buffered answers exceed %d",
			bytes, s.maxAnswer, s.answers.limit),
	}
}

// afterFailure releases what a failed attempt holds and decides whether another one
// may follow.
func (s *Server) afterFailure(c *call, failed *attemptError) error {
	target := s.recordFailure(c, failed)
	c.stream.keepFallback()
	err := s.checkRetry(c, failed)
	if c.challenger == nil {
		c.stream.deliverFallback()
	}
	s.logFailure(c, failed, target, err == nil)
	return err
}

// recordFailure releases what a failed attempt holds, and returns its target.
func (s *Server) recordFailure(c *call, failed *attemptError) placement.Target {
	var target placement.Target
	runs := 1
	if c.via != nil {
		s.afterForwardFailure(c, failed)
		target.ID, runs = string(c.via.ID), c.viaRuns
	} else {
		target = c.place.Target
		s.afterServerFailure(c, failed)
	}
	if failed.ran {
		c.ran += runs
	}
	c.lastFailure = failed
	s.release(c)
	s.instruments.recordAttempt("failed")
	return target
}

func (s *Server) logFailure(c *call, failed *attemptError, target placement.Target, retry bool) {
	level.Info(s.logger).Log("msg", "Attempt failed", "request", c.head.ID, "target", target.ID,
		"generation", target.Generation, "instance", target.Instance, "ran", failed.ran, "unsent", failed.unsent, "stalled", failed.stalled,
		"closed", failed.closed, "heard_ms", s.links.all.SinceHeard(time.Now()).Milliseconds(), "attempt", c.attempts, "events", c.events, "after_ms", time.Since(c.received).Milliseconds(),
		"left_ms", c.remaining().Milliseconds(), "retry", retry, "revision", c.revision, "err", failed)
}

// afterServerFailure records what a failed attempt tells about the server.
func (s *Server) afterServerFailure(c *call, failed *attemptError) {
	if failed.suspectFor > 0 && c.ctx.Err() == nil {
		c.pool.Suspect(c.place, placement.Suspicion{For: failed.suspectFor, Stalled: failed.stalled, DialFailed: failed.unsent})
	}
	if failed.stalled {
		s.reporter.requestProgressReport()
	}
	s.recordCrash(c, failed)
	c.exclude(c.place.Target.ID)
}

// checkRetry returns the error that ends the call, or nil if another attempt may follow.
func (s *Server) checkRetry(c *call, failed *attemptError) error {
	if c.ctx.Err() != nil {
		s.dropChallenger(c)
		return s.contextError(c, failed)
	}
	if c.challenger != nil {
		return nil
	}
	if c.ran > 0 && !c.mayRunAgain(0) {
		return failed
	}
	if c.forwardedBy != "" && c.status != 0 {
		return failed // The first entry resumes the stream.
	}
	if c.attempts >= c.maxAttempts()+extraAttempts {
		return failed
	}
	if failed.declined {
		return nil
	}
	if len(c.trials) > 0 {
		return failed
	}
	if failed.unsent {
		// Nothing has reached a server, so that the next attempt is no repetition.
		return nil
	}
	if !s.takeBudget(c) {
		return failed
	}
	c.demand.Begun = c.ran > 0
	return nil
}

// takeBudget takes one retry of the budget, if that allows one.
func (s *Server) takeBudget(c *call) bool {
	if s.budget(c.service.Name).take(len(liveEntries(s.cfg.State.Snapshot()))) {
		return true
	}
	level.Info(s.logger).Log("msg", "Retry budget exhausted", "request", c.head.ID, "service", c.service.Name)
	c.denied = deniedBudget
	return false
}

// extraAttempts is the number of attempts beyond those of the route that servers may
// refuse without running the request.
const extraAttempts = 4

// contextError returns the error of a call whose caller left or whose deadline passed.
func (s *Server) contextError(c *call, cause error) error {
	if errors.Is(context.Cause(c.ctx), errCallerLeft) {
		c.callerLeft = true
		return errCallerLeft
	}
	if c.ran == 0 {
		return unavailable(codeDeadline, "no server took the request in time", cause)
	}
	return &refusal{status: fasthttp.StatusGatewayTimeout, code: codeDeadline, message: "the answer did not come in time", cause: cause}
}

// refusalOf converts the error of a call into the answer that the caller gets.
func (s *Server) refusalOf(c *call, err error) *refusal {
	var r *refusal
	if errors.As(err, &r) {
		return r
	}
	if errors.Is(err, errCallerLeft) || c.ctx != nil && errors.Is(context.Cause(c.ctx), errCallerLeft) {
		c.callerLeft = true
	}
	if c.ran > 0 {
		if c.ctx.Err() != nil {
			return &refusal{status: fasthttp.StatusGatewayTimeout, code: codeDeadline, message: "the answer did not come in time", cause: err}
		}
		return &refusal{status: fasthttp.StatusBadGateway, code: "server_failed", message: "the server did not answer", cause: err}
	}
	switch {
	case errs.Is(err, errs.Full):
		return unavailable("overloaded", "no server became free in time", err)
	case errs.Is(err, errs.Timeout):
		return unavailable(codeDeadline, "no server took the request in time", err)
	}
	return unavailable("no_server", "no server can take the request now", err)
}
