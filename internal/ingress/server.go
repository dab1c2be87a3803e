package ingress

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/inflight"
	"github.com/crocusway/crocusway/internal/logging"
)

// Server is the callers' side of an entry that passes requests through. It is safe
// for concurrent use.
type Server struct {
	cfg         Config
	logger      log.Logger
	board       *board
	active      *inflight.Counter
	instruments instruments
	share       *share
	crashes     *crashes
}

// New returns a server. Hand it every view with Apply and run its Run loop.
func New(cfg Config) *Server {
	s := &Server{
		cfg:     cfg,
		logger:  logging.For(cfg.Logger, "ingress"),
		board:   newBoard(),
		active:  inflight.NewCounter(),
		crashes: newCrashes(),
	}
	var err error
	if s.instruments, err = newInstruments(cfg.Meter); err != nil {
		level.Warn(s.logger).Log("msg", "metrics incomplete", "err", err)
	}
	s.share = newShare(s)
	return s
}

// HTTP returns a server for callers' connections.
func (s *Server) HTTP() *fasthttp.Server {
	set := s.cfg.Settings
	return &fasthttp.Server{
		Handler:                      s.Handle,
		ReadBufferSize:               set.MaxHeaderBytes,
		MaxRequestBodySize:           set.MaxBodyBytes,
		IdleTimeout:                  set.IdleTimeout,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		DisablePreParseMultipartForm: true,
		CloseOnShutdown:              true,
		ErrorHandler:                 s.refuseBroken,
		Logger:                       quietLogger{},
	}
}

// quietLogger drops the messages of the HTTP library about broken callers; the
// request path logs how each request ended.
type quietLogger struct{}

// Printf implements fasthttp.Logger.
func (quietLogger) Printf(string, ...any) {}

// refuseBroken answers a request that could not be read.
func (s *Server) refuseBroken(ctx *fasthttp.RequestCtx, err error) {
	level.Warn(s.logger).Log("msg", "Request not read", "caller", ctx.RemoteAddr(), "err", err)
	ctx.Error("the request could not be read", fasthttp.StatusBadRequest)
	ctx.SetConnectionClose()
}

// Run shares loads and progress with other daemons until ctx ends.
func (s *Server) Run(ctx context.Context) error { return s.share.run(ctx) }

// Wait returns once every request that was taken has ended.
func (s *Server) Wait() { s.active.Wait() }

// Active returns the number of requests in progress.
func (s *Server) Active() int { return s.active.Count() }

// Ready reports whether requests can be routed.
func (s *Server) Ready() bool {
	table, _ := s.board.current()
	return table != nil
}

// Handle takes one request through the whole path.
func (s *Server) Handle(ctx *fasthttp.RequestCtx) {
	s.active.Begin()
	c := &call{http: ctx, received: time.Now()}
	defer s.recoverCall(c)
	if err := run(c, s.prepare()); err != nil {
		s.finish(c, err)
		return
	}
	c.watch = watchCaller(ctx.Conn(), func() { c.cancel(errCallerLeft) })
	if err := s.attempt(c); err != nil {
		s.finish(c, err)
		return
	}
	s.relay(c)
}

// filter is one step before a request is placed. An error refuses it.
type filter func(c *call) error

// prepare lists the filters in the order in which a request passes them.
func (s *Server) prepare() []filter {
	return []filter{s.receive, s.route, s.authenticate, s.quarantine, s.bound, s.classify}
}

func run(c *call, filters []filter) error {
	for _, f := range filters {
		if err := f(c); err != nil {
			return err
		}
	}
	return nil
}

// recoverCall ends a call whose filter panicked. What it sent is not known.
func (s *Server) recoverCall(c *call) {
	cause := recover()
	if cause == nil {
		return
	}
	level.Error(s.logger).Log("msg", "Request path panicked", "request", c.head.ID, "cause", cause, "stack", string(debug.Stack()))
	s.finish(c, &refusal{status: fasthttp.StatusBadGateway, code: "internal", message: "the entry failed"})
}

// finish answers a call that no server's answer is passed on for.
func (s *Server) finish(c *call, err error) {
	c.cause = err
	s.refuse(c, s.refusalOf(c, err))
	if c.callerLeft {
		c.outcome, c.reason = "left", "caller_left"
	}
	s.end(c)
}

// end gives back what a call holds, and logs and counts it. A second call changes
// nothing.
func (s *Server) end(c *call) {
	if c.ended {
		return
	}
	c.ended = true
	s.release(c)
	c.watch.stop()
	if c.cancel != nil {
		c.cancel(nil)
	}
	now := time.Now()
	s.instruments.ended(c, now)
	s.logEnd(c, now)
	s.active.Done()
}

// closeIfLeaving asks the caller not to use its connection again during a graceful
// shutdown.
func (s *Server) closeIfLeaving(c *call) {
	if s.cfg.State.Leaving() {
		c.http.SetConnectionClose()
	}
}

// release closes the present exchange and gives its place back.
func (s *Server) release(c *call) {
	if c.exchange != nil {
		c.exchange.Close()
		c.exchange = nil
	}
	if c.place != nil {
		c.pool.Release(c.place)
		c.place = nil
	}
}

// logEnd writes the one line that tells what became of a request and why.
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
	if c.lastFailure != nil {
		fields = append(fields, "failure", c.lastFailure)
	}
	if c.cause != nil && (c.lastFailure == nil || !errors.Is(c.cause, c.lastFailure)) {
		fields = append(fields, "cause", c.cause)
	}
	level.Info(s.logger).Log(fields...)
}
