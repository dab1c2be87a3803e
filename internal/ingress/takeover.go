package ingress

import (
	"cmp"
	"context"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"github.com/crocusway/crocusway/internal/backend"
	"github.com/crocusway/crocusway/internal/placement"
)

// While the server of a request is silent, the entry tries another one, the challenger. The
// request stays with the silent server until the challenger has begun to answer: a sound
// server may pause for longer than the entry waits, and a challenger may be refused, fail
// or stay silent itself.
//
// The challenger goes on behind the last event of the caller, and two runs need not give the
// same bytes. Events of the silent server are therefore withheld from the caller while a
// challenger is under way: they are delivered once that has ended, and discarded if it takes
// over.

const (
	// takeoverInterval is how long the entry waits for either of two servers in turn. It
	// bounds the delay of an event of the other one.
	takeoverInterval = pollInterval / 2
	// minPoll is long enough to read what has arrived.
	minPoll = time.Millisecond
	// challengePause is the time to the next challenger after one has failed, or none could be
	// sent: the queue, the retry budget or a quarantine did not let one through. It leaves some
	// tries before a caller gives up, and most of the retry budget to others.
	challengePause = 500 * time.Millisecond
	// resumedEvents is the number of events with which a silent server has gone on. One event
	// may be the last of a server that fails, or one of a slow server.
	resumedEvents = 2
)

// challenger is an attempt at another server while the current one is silent.
type challenger struct {
	attemptState
	ctx context.Context
	// placed and opened receive the slot and the exchange, in this order. They are nil
	// unless the result is awaited.
	placed chan placedResult
	opened chan openedResult
	// headed is set once the header of the answer is accepted.
	headed bool
	// events splits the answer behind the last event of the caller, and out holds the whole
	// events.
	events eventSplitter
	out    []byte
}

// isSent reports whether a server may run the request for the challenger.
func (ch *challenger) isSent() bool { return ch.opened != nil || ch.exchange != nil }

type placedResult struct {
	place *placement.Placement
	err   error
}

type openedResult struct {
	exchange *backend.Exchange
	err      error
}

var errNoBudget = errors.New("the retry budget is exhausted")

// running is the number of servers that may run the request now.
func (c *call) running() int {
	if c.challenger != nil && c.challenger.isSent() {
		return 2
	}
	return 1
}

// pollInterval is how long to wait for the current server before other checks.
func (c *call) pollInterval() time.Duration {
	if c.challenger != nil {
		return takeoverInterval
	}
	return pollInterval
}

// exclude keeps later attempts off a target.
func (c *call) exclude(target string) {
	if !slices.Contains(c.demand.Exclude, target) {
		c.demand.Exclude = append(c.demand.Exclude, target)
	}
}

// withAttempt runs do with another attempt in place of the current one.
func (c *call) withAttempt(a *attemptState, do func() error) error {
	c.attemptState, *a = *a, c.attemptState
	defer func() { c.attemptState, *a = *a, c.attemptState }()
	return do()
}

// challenge makes one step of a takeover while the current server has been silent for a
// time. It returns the challenger once that has become the current attempt: with the header of
// its answer, or with an event once the current server has sent its header (inStream). wait
// bounds the wait for the challenger.
func (s *Server) challenge(c *call, silent time.Duration, inStream bool, wait time.Duration) *challenger {
	if c.challenger == nil {
		if s.isStalled(c, silent) && s.mayChallenge(c) {
			s.beginChallenger(c, silent)
		}
		return nil
	}
	begun, err := s.advanceChallenger(c, inStream, time.Now().Add(wait))
	switch {
	case err != nil:
		s.failChallenger(c, err)
	case begun && len(c.challenger.out) == 0 && c.stream.withholds():
		// The answer has ended without an event, where the silent server has sent one.
		s.dropChallenger(c)
	case begun:
		return s.replaceSilent(c)
	}
	return nil
}

// mayChallenge reports whether another attempt is allowed, except for the retry budget.
func (s *Server) mayChallenge(c *call) bool {
	// The first entry resumes a forwarded stream, so that it counts every run.
	isOfFirstEntry := c.forwardedBy != "" && c.status != 0
	return !isOfFirstEntry && c.ctx.Err() == nil && len(c.trials) == 0 && c.attempts < c.maxAttempts()+extraAttempts &&
		!time.Now().Before(c.nextChallenge)
}

// beginChallenger looks for another server.
func (s *Server) beginChallenger(c *call, silent time.Duration) {
	after := cmp.Or(c.lastEvent, c.head.LastEvent)
	ch := &challenger{events: eventSplitter{last: after, numbered: true}}
	ch.ctx, ch.stop = context.WithCancel(c.ctx)
	ch.challenging = true
	c.challenger = ch
	s.logSilence(c, silent)
	s.suspectSilent(c)
	if s.linksLost(c) {
		err := c.withAttempt(&ch.attemptState, func() error { return s.acquireEntry(c) })
		if err == nil {
			err = s.sendChallenger(c)
		}
		if err != nil {
			s.failChallenger(c, err)
		}
		return
	}
	if !c.counted {
		c.counted = true
		s.budget(c.service.Name).count()
	}
	demand, pool, placed := c.demand, c.pool, make(chan placedResult, 1)
	demand.Exclude, demand.Begun = slices.Clone(demand.Exclude), true
	ch.placed = placed
	go func() {
		place, err := pool.Acquire(ch.ctx, demand)
		placed <- placedResult{place, err}
	}()
}

func (s *Server) logSilence(c *call, silent time.Duration) {
	fields := []any{
		"msg", "Server is silent, another one is tried", "request", c.head.ID, "silent_ms", silent.Milliseconds(),
		"links_lost", s.linksLost(c), "attempt", c.attempts, "events", c.events,
		"after_ms", time.Since(c.received).Milliseconds(), "left_ms", c.remaining().Milliseconds(),
	}
	if c.via != nil {
		fields = append(fields, "target", c.via.ID)
	} else {
		target, gone := c.pool.Silence(c.place)
		fields = append(fields, "target", c.place.Target.ID, "generation", c.place.Target.Generation,
			"target_silent_ms", target.Milliseconds(), "gone", gone)
	}
	level.Info(s.logger).Log(fields...)
}

// suspectSilent keeps other requests off the silent server, or entry.
func (s *Server) suspectSilent(c *call) {
	if c.via != nil {
		c.links.forwards.avoid(c.via.ID, time.Now().Add(avoidDuration))
		return
	}
	c.pool.Suspect(c.place, placement.Suspicion{For: suspectDuration, Stalled: true})
	s.reporter.requestProgressReport()
	c.exclude(c.place.Target.ID)
}

// sendChallenger sends the request to the server, or entry, of the challenger.
func (s *Server) sendChallenger(c *call) error {
	ch := c.challenger
	if err := s.recheckQuarantineNow(c); err != nil {
		return err
	}
	if !c.budgetTaken && !s.takeBudget(c) {
		return errNoBudget
	}
	c.budgetTaken = true
	var request backend.Forward
	// The silent server counts for whoever takes the request.
	silent := max(1, c.viaRuns)
	err := c.withAttempt(&ch.attemptState, func() error {
		if c.place != nil {
			s.placed(c, c.place)
		}
		c.ran += silent
		defer func() { c.ran -= silent }()
		var err error
		c.sent = time.Now()
		request, err = s.request(c)
		return err
	})
	if err != nil {
		return err
	}
	opened := make(chan openedResult, 1)
	ch.opened = opened
	go func() {
		exchange, err := s.cfg.Backends.Send(ch.ctx, request)
		opened <- openedResult{exchange, err}
	}()
	return nil
}

// result returns what a channel holds. Without wait it reports false if that is nothing.
func result[T any](from chan T, wait bool) (r T, ok bool) {
	if wait {
		return <-from, true
	}
	select {
	case r = <-from:
		return r, true
	default:
		return r, false
	}
}

// openChallenger reports whether the challenger's server has the request. With wait it
// returns only once that is decided.
func (s *Server) openChallenger(c *call, wait bool) (bool, error) {
	ch := c.challenger
	if ch.placed != nil {
		r, ok := result(ch.placed, wait)
		if !ok {
			return false, nil
		}
		ch.placed, ch.place = nil, r.place
		if r.err != nil {
			return false, r.err
		}
		if err := s.sendChallenger(c); err != nil {
			return false, err
		}
	}
	if ch.opened != nil {
		r, ok := result(ch.opened, wait)
		if !ok {
			return false, nil
		}
		ch.opened = nil
		if err := c.withAttempt(&ch.attemptState, func() error { return s.opened(c, r.exchange, r.err) }); err != nil {
			return false, err
		}
	}
	return true, nil
}

// advanceChallenger waits for the challenger. It reports whether that has begun: with an event
// if inStream is set, else with the header of its answer.
func (s *Server) advanceChallenger(c *call, inStream bool, until time.Time) (begun bool, err error) {
	open, err := s.openChallenger(c, false)
	if err != nil || !open {
		return false, err
	}
	ch := c.challenger
	err = c.withAttempt(&ch.attemptState, func() error {
		if !ch.headed {
			if err := s.awaitChallengerHeader(c, until); err != nil {
				return err
			}
			ch.headed = true
		}
		if !inStream {
			begun = true
			return nil
		}
		var err error
		begun, err = s.awaitChallengerEvent(c, ch, until)
		return err
	})
	if errors.Is(err, backend.ErrIdle) {
		err = nil
	}
	return begun, err
}

// awaitChallengerHeader waits for the header of the answer. The challenger is the current
// attempt.
func (s *Server) awaitChallengerHeader(c *call, until time.Time) error {
	err := c.exchange.AwaitHeader(until)
	switch {
	case errors.Is(err, backend.ErrIdle):
		return err
	case err != nil:
		return s.exchangeError(c, err)
	}
	return s.inspect(c)
}

// awaitChallengerEvent waits for the next event of the stream, or its end. The challenger
// is the current attempt.
func (s *Server) awaitChallengerEvent(c *call, ch *challenger, until time.Time) (bool, error) {
	part, err := c.exchange.Next(until)
	switch {
	case errors.Is(err, io.EOF):
		return true, nil
	case errors.Is(err, backend.ErrIdle):
		return false, err
	case err != nil:
		return false, s.exchangeError(c, err)
	}
	s.recordBytes(c)
	ch.out, err = ch.events.feed(ch.out, part)
	if err != nil {
		return false, &attemptError{ran: true, suspectFor: suspectDuration, cause: err}
	}
	return len(ch.out) > 0, nil
}

// replaceSilent makes the challenger the current attempt.
func (s *Server) replaceSilent(c *call) *challenger {
	ch := c.challenger
	c.challenger = nil
	failed := &attemptError{ran: true, stalled: true, suspectFor: suspectDuration, cause: errStalled}
	target := s.recordFailure(c, failed)
	s.logFailure(c, failed, target, true)
	s.instruments.recordTakeover("taken_over")
	c.attemptState, c.budgetTaken, c.challenging = ch.attemptState, false, false
	return ch
}

// failChallenger ends the challenger; the request stays with the silent server.
func (s *Server) failChallenger(c *call, err error) {
	ch := c.challenger
	c.challenger = nil
	failed := new(attemptError)
	if errors.As(err, &failed) {
		c.budgetTaken = failed.unsent || failed.declined
		if !c.budgetTaken {
			c.nextChallenge = time.Now().Add(challengePause)
		}
		var target placement.Target
		_ = c.withAttempt(&ch.attemptState, func() error {
			target = s.recordFailure(c, failed)
			return nil
		})
		s.logFailure(c, failed, target, c.mayRunAgain(1))
	} else {
		s.closeAttempt(c, ch)
		c.nextChallenge = time.Now().Add(challengePause)
	}
	s.instruments.recordTakeover("failed")
	level.Info(s.logger).Log("msg", "No other server took over", "request", c.head.ID, "events", c.events,
		"left_ms", c.remaining().Milliseconds(), "err", err)
	c.stream.deliver()
}

// dropChallenger ends the challenger, if there is one: the current server has gone on, or the
// call is over.
func (s *Server) dropChallenger(c *call) {
	ch := c.challenger
	if ch == nil {
		return
	}
	c.challenger = nil
	if s.closeAttempt(c, ch) {
		c.budgetTaken = false
		// The entry that it was forwarded to may have used all attempts.
		runs := 1
		if ch.via != nil {
			runs = max(1, c.maxAttempts()-c.ran)
		}
		c.ran += runs
	}
	if c.exchange != nil && !c.ended {
		s.instruments.recordTakeover("went_on")
		level.Info(s.logger).Log("msg", "Silent server went on", "request", c.head.ID, "events", c.events,
			"withheld", c.stream.withheldCount(), "left_ms", c.remaining().Milliseconds())
	}
	c.stream.deliver()
}

// closeAttempt releases what a challenger holds. It reports whether a server may have run
// the request.
func (s *Server) closeAttempt(c *call, ch *challenger) (mayHaveRun bool) {
	ch.stop()
	if ch.placed != nil {
		// The wait for a slot ends with the context.
		ch.place = (<-ch.placed).place
	}
	if ch.opened != nil {
		r := <-ch.opened
		ch.exchange = r.exchange
		mayHaveRun = r.err != nil && !errors.Is(r.err, backend.ErrNotSent)
	}
	mayHaveRun = mayHaveRun || ch.exchange != nil
	_ = c.withAttempt(&ch.attemptState, func() error {
		s.release(c)
		return nil
	})
	return mayHaveRun
}

// adoptChallenger makes the challenger the current attempt once its server has the request:
// the former server has failed. It returns nil without a challenger.
func (s *Server) adoptChallenger(c *call) (*challenger, error) {
	ch := c.challenger
	if ch == nil {
		return nil, nil
	}
	if _, err := s.openChallenger(c, true); err != nil {
		s.failChallenger(c, err)
		c.stream.deliverFallback()
		var failed *attemptError
		switch {
		case errors.As(err, &failed):
			return nil, s.checkRetry(c, failed)
		case errors.Is(err, errNoBudget):
			return nil, c.lastFailure
		}
		return nil, err
	}
	c.challenger = nil
	c.attemptState, c.budgetTaken, c.challenging = ch.attemptState, false, false
	return ch, nil
}
