package ingress

import (
	"context"
	"net"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/crashes"
	"github.com/crocusway/crocusway/internal/intake"
	"github.com/crocusway/crocusway/internal/logging"
	"github.com/crocusway/crocusway/internal/placement"
)

// Server handles the callers' requests of a pass-through entry. It is safe for
// concurrent use.
type Server struct {
	cfg         Config
	logger      log.Logger
	state       *routingState
	progress    *progress
	instruments instruments
	cuts        cutCounter
	reporter    *reporter
	crashes     *crashes.Table
	links       *linkTable
	notices     *placement.Notices
	trials      trialClock
	shutdown    shutdown
	// maxAnswer bounds one answer that is not a stream, in bytes; answers bounds all that are
	// being read.
	maxAnswer int
	answers   byteBudget
}

// New returns a server. Pass every view to Apply, and call Run.
func New(cfg Config) *Server {
	s := &Server{
		cfg:       cfg,
		logger:    logging.For(cfg.Logger, "ingress"),
		state:     newRoutingState(),
		progress:  newProgress(),
		crashes:   crashes.NewTable(),
		trials:    trialClock{next: make(map[string]time.Time)},
		maxAnswer: maxAnswerBytes,
		answers:   byteBudget{limit: cfg.Settings.maxAnswers()},
		links:     newLinkTable(),
		notices:   placement.NewNotices(),
	}
	var err error
	if s.instruments, err = newInstruments(cfg.Meter); err != nil {
		level.Warn(s.logger).Log("msg", "Some metrics could not be created", "err", err)
	}
	if s.cuts, err = newCutCounter(cfg.Meter); err != nil {
		level.Warn(s.logger).Log("msg", "The counter of cut answers could not be created", "err", err)
	}
	s.reporter = newReporter(s)
	return s
}

// HTTP returns the HTTP server for callers' connections.
func (s *Server) HTTP() *intake.Server {
	defaults := s.defaultLimits()
	return s.newHTTP("callers", defaults.MaxHead, s.Handle, func() intake.Limits { return s.limits(defaults) })
}

func (s *Server) newHTTP(name string, maxHead int, handler fasthttp.RequestHandler, limits func() intake.Limits) *intake.Server {
	return intake.NewServer(intake.Config{
		Name:      name,
		Handler:   handler,
		Refuse:    s.refuseUnreadable,
		Account:   s.cfg.Account,
		MaxHead:   maxHead,
		Limits:    limits,
		Arrived:   s.progress.arrive,
		ConnState: s.observeConn,
		Refusals:  s.cfg.Refusals,
		Logger:    s.logger,
	})
}

// limits returns the limits of the publication in force, with defaults for what it does not
// set.
func (s *Server) limits(defaults intake.Limits) intake.Limits {
	l := defaults
	table, _ := s.state.current()
	if table == nil {
		return l
	}
	published := table.Limits()
	setIfPositive(&l.MaxHead, published.MaxHeaderBytes)
	setIfPositive(&l.MaxBody, published.MaxBodyBytes)
	setIfPositive(&l.HeadTimeout, time.Duration(published.HeaderTimeoutMillis)*time.Millisecond)
	setIfPositive(&l.IdleTimeout, time.Duration(published.IdleTimeoutMillis)*time.Millisecond)
	return l
}

func (s *Server) defaultLimits() intake.Limits {
	set := s.cfg.Settings
	return intake.Limits{MaxHead: set.MaxHeaderBytes, MaxBody: set.MaxBodyBytes, IdleTimeout: set.IdleTimeout}
}

func setIfPositive[T int | time.Duration](field *T, value T) {
	if value > 0 {
		*field = value
	}
}

// refuseUnreadable answers a request that could not be read.
func (s *Server) refuseUnreadable(ctx *fasthttp.RequestCtx, err error) {
	ctx.Response.Reset()
	ctx.SetStatusCode(intake.Status(err))
	ctx.SetContentType("application/json")
	intake.SetRetryAfter(&ctx.Response.Header, err)
	ctx.SetBody(encodeRefusal(intake.Reason(err), intake.Message(err)))
}

// Run sends load reports to other entries and progress reports to control until ctx ends.
func (s *Server) Run(ctx context.Context) error { return s.reporter.run(ctx) }

// observeConn records the end of a request: a connection becomes idle or closes once the
// answer has been written.
func (s *Server) observeConn(conn net.Conn, state fasthttp.ConnState) {
	if state == fasthttp.StateIdle || state == fasthttp.StateClosed {
		s.answers.release(s.progress.end(conn))
	}
}

// Active returns the number of requests of which a byte has come, and whose answers have not
// been written completely.
func (s *Server) Active() int { return s.progress.count() }

// Ready reports whether requests can be routed.
func (s *Server) Ready() bool {
	table, _ := s.state.current()
	return table != nil
}

// Handle runs the filters on a request, sends it to a server and forwards the answer.
func (s *Server) Handle(ctx *fasthttp.RequestCtx) {
	s.serve(&call{http: ctx, received: time.Now()}, s.filters())
}

func (s *Server) serve(c *call, filters []filter) {
	c.admitted = s.progress.begin(c.http.Conn(), c.received)
	defer s.recoverCall(c)
	if err := runFilters(c, filters); err != nil {
		s.finish(c, err)
		return
	}
	c.watch = watchCaller(c.http.Conn(), func() { c.cancel(errCallerLeft) })
	if err := s.attempt(c); err != nil {
		s.finish(c, err)
		return
	}
	s.relay(c)
}

// filter is one step before placement. An error refuses the request.
type filter func(c *call) error

// filters returns the filters in the order in which they run.
func (s *Server) filters() []filter {
	return []filter{s.decode, s.admit, s.route, s.authenticate, s.setDeadline, s.readBody, s.quarantine, s.selectService, s.selectPool}
}

func runFilters(c *call, filters []filter) error {
	for _, f := range filters {
		if err := f(c); err != nil {
			return err
		}
	}
	return nil
}

// recoverCall answers a call that panicked with 502, as a server may have run it.
func (s *Server) recoverCall(c *call) {
	cause := recover()
	if cause == nil {
		return
	}
	s.logPanic(c, cause)
	s.finish(c, &refusal{status: fasthttp.StatusBadGateway, code: codeInternal, message: "the entry failed"})
}

func (s *Server) logPanic(c *call, cause any) {
	level.Error(s.logger).Log("msg", "Panic in request path", "request", c.head.ID, "cause", cause, "stack", string(debug.Stack()))
}

// finish refuses a call for which no server's answer is forwarded.
func (s *Server) finish(c *call, err error) {
	c.cause = err
	s.dropChallenger(c)
	r := s.refusalOf(c, err)
	if isCut(c) {
		r = exitRefusal(c)
	}
	s.refuse(c, r)
	if c.callerLeft {
		c.outcome, c.reason = outcomeLeft, reasonCallerLeft
	}
	s.end(c)
}

// end releases the resources of a call, and logs and counts it. Further calls have no
// effect.
func (s *Server) end(c *call) {
	if c.ended {
		return
	}
	c.ended = true
	s.release(c)
	s.dropChallenger(c)
	c.watch.stop()
	if c.cancel != nil {
		c.cancel(nil)
	}
	now := time.Now()
	s.instruments.recordEnd(c, now)
	s.logEnd(c, now)
	if !s.progress.setSending(c.http.Conn(), c.buffered) {
		s.answers.release(c.buffered)
	}
}

// closeIfLeaving closes the caller's connection after the response during a
// graceful shutdown.
func (s *Server) closeIfLeaving(c *call) {
	if s.cfg.State.Leaving() {
		c.http.SetConnectionClose()
	}
}

// release closes the current exchange and releases its placement.
func (s *Server) release(c *call) {
	if c.exchange != nil {
		c.exchange.Close()
		c.exchange = nil
	}
	if c.place != nil {
		c.pool.Release(c.place)
		c.place = nil
	}
	if c.via != nil {
		c.links.forwards.done(c.via.ID)
		c.via = nil
	}
	if c.stop != nil {
		c.stop()
		c.stop = nil
	}
}

// logEnd logs the outcome of a request and its reason.
func (s *Server) logEnd(c *call, now time.Time) {
	route, service, version := "", "", uint64(0)
	if c.route != nil {
		route = c.route.Name
	}
	if c.service != nil {
		service = c.service.Name
	}
	if c.table != nil {
		version = c.table.Version()
	}
	fields := []any{
		"msg", "Request ended", "request", c.head.ID, "outcome", c.outcome, "status", c.status, "reason", c.reason,
		"route", route, "service", service, "model", c.head.Model, "account", c.accountID(),
		"publication", version, "revision", c.revision, "attempts", c.attempts, "ran", c.ran, "targets", joined(c.targetsTried),
		"prompt", c.head.PromptTokens, "max_tokens", c.head.MaxTokens, "hint", c.head.LengthHint,
		"queued_ms", c.queued.Milliseconds(), "first_ms", c.firstByte.Milliseconds(), "total_ms", now.Sub(c.received).Milliseconds(),
		"events", c.events, "resumed", c.resumed,
	}
	if c.forwardedBy != "" {
		fields = append(fields, "forwarded_by", c.forwardedBy)
	}
	if c.lastFailure != nil {
		fields = append(fields, "failure", c.lastFailure)
	}
	if c.cause != nil && (c.lastFailure == nil || !errors.Is(c.cause, c.lastFailure)) {
		fields = append(fields, "cause", c.cause)
	}
	if c.outcome != outcomeAnswered {
		fields = append(fields, s.earlyEndFields(c, now)...)
	}
	level.Info(s.logger).Log(fields...)
}
