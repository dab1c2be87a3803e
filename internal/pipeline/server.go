package pipeline

import (
	"runtime/debug"
	"sync/atomic"

	"github.com/fasthttp/router"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/oklog/ulid/v2"
	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/inflight"
	"github.com/crocusway/crocusway/internal/intake"
	"github.com/crocusway/crocusway/internal/logging"
)

// Server serves the callers of an entry. It is safe for concurrent use.
type Server struct {
	cfg    Config
	logger log.Logger
	router *router.Router
	order  order
	budget *retryBudget
	// runTimes estimates run times, to refuse calls that would miss their deadline.
	runTimes *runTimes
	limits   serviceLimits
	// metrics are the instruments of the request path.
	metrics metrics
	// domainChange counts requests during failure domain changes.
	domainChange *domainChangeCounter
	// nextServer rotates between the servers of plain services.
	nextServer atomic.Uint64
	// active counts the calls that have not ended.
	active *inflight.Counter
	// retryEnd retries storing the end of a record after a failure.
	retryEnd func(api.Record)
	// pendingEnds holds one item for each record whose end is being retried.
	pendingEnds chan struct{}
}

// New returns a server for cfg. To wire it: mount further routes on Router
// before the first request, and pass HTTP to a listener.
//
//	srv := pipeline.New(pipeline.Config{
//		Self:     info,           // this entry
//		State:    state,          // *entry.State
//		Control:  control,        // entry.ControlCaller
//		Grants:   grants,         // *shard.Client, its Run loop started
//		Backends: backends,       // backend.Client
//		Clock:    clock.System{},
//		Logger:   logger,
//	})
//	srv.Router().POST("/v1/backends/announce", announce)
//	go srv.HTTP().Serve(listener)
func New(cfg Config) *Server {
	cfg.Settings = cfg.Settings.withDefaults()
	s := &Server{
		cfg:      cfg,
		logger:   logging.For(cfg.Logger, "pipeline"),
		runTimes: newRunTimes(),
		budget:   newRetryBudget(cfg.Settings.RetryRatio, cfg.Settings.RetryBurst),
		limits:   newServiceLimits(cfg.Settings.ServiceLimit),
		active:   inflight.NewCounter(),

		pendingEnds: make(chan struct{}, maxPendingEnds),
	}
	var err error
	if s.metrics, err = newMetrics(cfg.Meter); err != nil {
		level.Warn(s.logger).Log("msg", "metrics incomplete", "err", err)
	}
	if s.domainChange, err = newDomainChangeCounter(cfg.Meter); err != nil {
		level.Warn(s.logger).Log("msg", "metrics incomplete", "err", err)
	}
	s.retryEnd = s.retryEndInBackground
	s.order = newOrder(s)
	s.router = s.routes()
	return s
}

// routes returns the router of the callers' interface.
func (s *Server) routes() *router.Router {
	r := router.New()
	r.RedirectTrailingSlash = false
	r.RedirectFixedPath = false
	r.HandleOPTIONS = false
	r.POST("/v1/chat/completions", s.handle(callChat))
	r.POST("/v1/completions", s.handle(callCompletion))
	r.GET("/v1/models", s.serveModels)
	r.GET("/v1/entries", s.serveEntries)
	r.ANY("/services/{name}/{path:*}", s.handle(callService))
	r.NotFound = s.refuseRoute(fasthttp.StatusNotFound, "no such path")
	r.MethodNotAllowed = s.refuseRoute(fasthttp.StatusMethodNotAllowed, "method not allowed on this path")
	return r
}

// Router returns the router, so that other parts of the daemon can mount their
// routes beside those of the callers.
func (s *Server) Router() *router.Router { return s.router }

// Handler returns the handler of every mounted route.
func (s *Server) Handler() fasthttp.RequestHandler { return s.router.Handler }

// HTTP returns a server with the limits of the settings.
func (s *Server) HTTP() *intake.Server {
	set := s.cfg.Settings
	var server *intake.Server
	connections := func() int { return server.Connections() }
	server = intake.NewServer(intake.Config{
		Name:           "callers",
		Handler:        s.limitConns(connections, intake.WithBody(intake.AtMost(set.MaxBodyBytes), set.ReadTimeout, s.refuseReadError, s.Handler())),
		Refuse:         s.refuseReadError,
		Account:        s.cfg.Account,
		Refusals:       s.cfg.Refusals,
		Logger:         s.logger,
		MaxHead:        set.MaxHeaderBytes,
		MaxConns:       set.MaxConns + overflowConns,
		WriteTimeout:   set.WriteTimeout,
		ServerName:     "crocusway",
		DefaultHeaders: true,
		Limits: func() intake.Limits {
			return intake.Limits{MaxHead: set.MaxHeaderBytes, HeadTimeout: set.ReadTimeout, BodyTimeout: set.ReadTimeout, IdleTimeout: set.IdleTimeout}
		},
	})
	return server
}

// Wait returns once every accepted call has ended.
func (s *Server) Wait() { s.active.Wait() }

// handle returns the handler of one kind of call.
func (s *Server) handle(kind callKind) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		s.active.Begin()
		c := &call{http: ctx, kind: kind, id: newRequestID()}
		defer s.recoverCall(c)
		s.serve(c)
	}
}

// recoverCall ends a call whose filter panicked. Its outcome is unknown, because
// the request may have been sent.
func (s *Server) recoverCall(c *call) {
	cause := recover()
	if cause == nil {
		return
	}
	level.Error(s.logger).Log("msg", "filter panicked", "request", c.id, "cause", cause, "stack", string(debug.Stack()))
	s.refuse(c, &refusal{
		status:  fasthttp.StatusInternalServerError,
		code:    "internal",
		message: "the entry failed",
		unknown: true,
	})
	s.end(c)
}

// refuseRoute returns the handler of requests that match no route.
func (s *Server) refuseRoute(status int, message string) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		r := &refusal{status: status, code: "no_route", message: message}
		s.writeRefusal(ctx, r, newRequestID(), api.OutcomeNotRun)
	}
}

// newRequestID returns an id that sorts by time.
func newRequestID() api.RequestID { return api.RequestID(ulid.Make().String()) }
