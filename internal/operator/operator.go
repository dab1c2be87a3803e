// Package operator serves the HTTP interface for operators and backend servers on
// an entry or control daemon. It forwards operators' calls to the control leader.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"github.com/fasthttp/router"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/config"
	"github.com/crocusway/crocusway/internal/entry"
	"github.com/crocusway/crocusway/internal/errs"
)

const (
	// callTimeout bounds an operator's call, in addition to its requested wait.
	callTimeout = 10 * time.Second
	// maxDecideWait bounds the wait for a change to be in force.
	maxDecideWait = 60 * time.Second
	// maxHistory is the maximum number of changes in one history response.
	maxHistory = 1000
	// headerOperator carries the operator's name for the history.
	headerOperator = "Crocusway-Operator"
)

// Config configures a Server.
type Config struct {
	Control       entry.ControlCaller
	OperatorToken config.Secret
	BackendToken  config.Secret
	Logger        log.Logger
	// Announce accepts a validated announcement or returns why it can't; nil
	// refuses all announcements.
	Announce func(api.Announcement) (api.AnnounceResponse, error)
	// DecodeAnnouncement decodes and validates the body of an announcement.
	DecodeAnnouncement func([]byte) (api.Announcement, error)
	// Dump returns the state of this process for /debug/state.
	Dump func() any
	// Ready returns nil if the daemon is ready for its role, otherwise the reason.
	Ready func() error
	// Metrics serves /metrics.
	Metrics fasthttp.RequestHandler
}

// Server holds the HTTP handlers.
type Server struct {
	cfg Config
}

// New returns a server.
func New(cfg Config) *Server { return &Server{cfg: cfg} }

// Mount adds the routes to r.
func (s *Server) Mount(r *router.Router) {
	r.PanicHandler = s.recovered
	r.GET("/healthz", s.healthz)
	r.GET("/readyz", s.readyz)
	r.GET("/metrics", s.cfg.Metrics)
	r.POST("/v1/backends/announce", s.requireToken(s.cfg.BackendToken, s.announce))
	operator := func(h fasthttp.RequestHandler) fasthttp.RequestHandler {
		return s.requireToken(s.cfg.OperatorToken, h)
	}
	r.GET("/debug/state", operator(s.dump))
	r.POST("/v1/operator/plans", operator(s.plan))
	r.GET("/v1/operator/plans", operator(s.plans))
	r.POST("/v1/operator/plans/{id}/{decision}", operator(s.decide))
	r.GET("/v1/operator/status", operator(s.status))
	r.GET("/v1/operator/history", operator(s.history))
	r.POST("/v1/operator/members", operator(s.member))
}

// recovered answers a call whose handler panicked, so that one call can't end the process.
func (s *Server) recovered(ctx *fasthttp.RequestCtx, cause any) {
	level.Error(s.cfg.Logger).Log("msg", "Panic in handler", "path", string(ctx.Path()), "cause", cause, "stack", string(debug.Stack()))
	ctx.Response.Reset()
	writeError(ctx, errs.New(errs.Internal, "handle call", "", "the daemon failed"))
	ctx.SetConnectionClose()
}

// requireToken admits requests with the bearer token. It compares the hashes in
// constant time.
func (s *Server) requireToken(token config.Secret, next fasthttp.RequestHandler) fasthttp.RequestHandler {
	wantHash := sha256.Sum256([]byte(token.Reveal()))
	return func(ctx *fasthttp.RequestCtx) {
		given := strings.TrimPrefix(string(ctx.Request.Header.Peek("Authorization")), "Bearer ")
		gotHash := sha256.Sum256([]byte(given))
		if subtle.ConstantTimeCompare(gotHash[:], wantHash[:]) != 1 {
			writeError(ctx, errs.New(errs.Denied, "authenticate", "", "token refused"))
			return
		}
		next(ctx)
	}
}

func (s *Server) healthz(ctx *fasthttp.RequestCtx) {
	ctx.SetBodyString("ok\n")
}

func (s *Server) readyz(ctx *fasthttp.RequestCtx) {
	if err := s.cfg.Ready(); err != nil {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString(err.Error() + "\n")
		return
	}
	ctx.SetBodyString("ready\n")
}

func (s *Server) dump(ctx *fasthttp.RequestCtx) { writeJSON(ctx, s.cfg.Dump()) }

func (s *Server) announce(ctx *fasthttp.RequestCtx) {
	if s.cfg.Announce == nil {
		writeError(ctx, errs.New(errs.Unavailable, "announce", "", "this daemon does not run the entry role"))
		return
	}
	ann, err := s.cfg.DecodeAnnouncement(ctx.PostBody())
	if err != nil {
		writeError(ctx, err)
		return
	}
	response, err := s.cfg.Announce(ann)
	if err != nil {
		writeError(ctx, err)
		return
	}
	writeJSON(ctx, response)
}

func (s *Server) plan(ctx *fasthttp.RequestCtx) {
	var intent api.Intent
	if err := decodeStrict(ctx.PostBody(), &intent); err != nil {
		writeError(ctx, err)
		return
	}
	key := string(ctx.Request.Header.Peek(api.HeaderIdempotencyKey))
	request := api.PlanRequest{Operator: operatorName(ctx), Intent: intent, Key: key}
	forward[api.PlanResponse](s, ctx, api.MethodPlan, request, 0)
}

func (s *Server) plans(ctx *fasthttp.RequestCtx) {
	forward[api.PlansResponse](s, ctx, api.MethodPlans, api.Empty{}, 0)
}

func (s *Server) decide(ctx *fasthttp.RequestCtx) {
	request, err := parseDecision(ctx)
	if err != nil {
		writeError(ctx, err)
		return
	}
	wait := time.Duration(request.WaitMillis) * time.Millisecond
	forward[api.DecideResponse](s, ctx, api.MethodDecide, request, wait)
}

func (s *Server) status(ctx *fasthttp.RequestCtx) {
	forward[api.StatusResponse](s, ctx, api.MethodStatus, api.Empty{}, 0)
}

func (s *Server) history(ctx *fasthttp.RequestCtx) {
	limit, err := intArg(ctx, "limit", 50, 1, maxHistory)
	if err != nil {
		writeError(ctx, err)
		return
	}
	forward[api.HistoryResponse](s, ctx, api.MethodHistory, api.HistoryRequest{Limit: limit}, 0)
}

func (s *Server) member(ctx *fasthttp.RequestCtx) {
	var request api.MemberRequest
	if err := decodeStrict(ctx.PostBody(), &request); err != nil {
		writeError(ctx, err)
		return
	}
	forward[api.Empty](s, ctx, api.MethodMember, request, 0)
}

// forward sends a call to the control leader and writes its response. The wait is
// added to the timeout.
func forward[R any](s *Server, ctx *fasthttp.RequestCtx, method api.Method, params any, wait time.Duration) {
	callCtx, cancel := context.WithTimeout(context.Background(), callTimeout+wait)
	defer cancel()
	var result R
	if err := s.cfg.Control.Call(callCtx, method, params, &result); err != nil {
		writeError(ctx, err)
		return
	}
	writeJSON(ctx, result)
}

func operatorName(ctx *fasthttp.RequestCtx) string {
	name := string(ctx.Request.Header.Peek(headerOperator))
	if name == "" {
		return "unnamed"
	}
	return name
}

func parseDecision(ctx *fasthttp.RequestCtx) (api.DecideRequest, error) {
	var request api.DecideRequest
	id, err := strconv.ParseUint(ctx.UserValue("id").(string), 10, 64)
	if err != nil {
		return request, errs.New(errs.Invalid, "parse plan number", "", "id: value %q, must be a whole number", ctx.UserValue("id"))
	}
	decision := ctx.UserValue("decision").(string)
	if decision != "confirm" && decision != "reject" {
		return request, errs.New(errs.Invalid, "parse decision", "", "decision: value %q, must be confirm or reject", decision)
	}
	waitMillis, err := intArg(ctx, "wait_millis", 10000, 0, int(maxDecideWait.Milliseconds()))
	if err != nil {
		return request, err
	}
	request.Operator = operatorName(ctx)
	request.Plan = api.PlanID(id)
	request.Confirm = decision == "confirm"
	request.WaitMillis = int64(waitMillis)
	return request, nil
}
