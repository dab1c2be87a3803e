package operator

import (
	"context"
	"encoding/json"
	"strings"
	"testing"

	"github.com/fasthttp/router"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/backend"
	"github.com/crocusway/crocusway/internal/errs"
	"github.com/crocusway/crocusway/internal/logging"
)

const (
	operatorToken = "operator-token-0001"
	backendToken  = "backend-token-00001"
)

// fakeControl records the last call and returns err.
type fakeControl struct {
	method api.Method
	params any
	err    error
}

func (f *fakeControl) Call(_ context.Context, method api.Method, params, _ any) error {
	f.method = method
	f.params = params
	return f.err
}

func newHandler(control *fakeControl, announced *[]api.Announcement) fasthttp.RequestHandler {
	r := router.New()
	New(Config{
		Control:            control,
		OperatorToken:      operatorToken,
		BackendToken:       backendToken,
		Logger:             logging.Discard(),
		DecodeAnnouncement: backend.DecodeAnnouncement,
		Announce: func(a api.Announcement) (api.AnnounceResponse, error) {
			if a.Host == "leaderless" {
				return api.AnnounceResponse{}, errs.New(errs.Unavailable, "announce", "", "no control leader")
			}
			*announced = append(*announced, a)
			return api.AnnounceResponse{NextMillis: 500}, nil
		},
		Dump:    func() any { return struct{ Name string }{"entry1"} },
		Ready:   func() error { return errs.New(errs.Unavailable, "check readiness", "", "no work lease") },
		Metrics: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("metrics") },
	}).Mount(r)
	return r.Handler
}

func do(h fasthttp.RequestHandler, method, uri, token, body string) *fasthttp.RequestCtx {
	var ctx fasthttp.RequestCtx
	ctx.Request.Header.SetMethod(method)
	ctx.Request.SetRequestURI(uri)
	if token != "" {
		ctx.Request.Header.Set("Authorization", "Bearer "+token)
	}
	ctx.Request.SetBodyString(body)
	h(&ctx)
	return &ctx
}

func TestOperatorContract(t *testing.T) {
	const plans = "/v1/operator/plans"
	cases := []struct {
		name, method, uri, token, body string
		status                         int
		wantMethod                     api.Method
		wantBody                       string
	}{
		{"plan", "POST", plans, operatorToken, `{"domains":[{"name":"d1","state":"drained"}]}`, 200, api.MethodPlan, ""},
		{"no token", "POST", plans, "", `{}`, 401, "", "token refused"},
		{"wrong token", "POST", plans, "operator-token-0002", `{}`, 401, "", "token refused"},
		{"backend's token", "GET", "/v1/operator/status", backendToken, "", 401, "", "token refused"},
		{"unknown field", "POST", plans, operatorToken, `{"domain":[]}`, 400, "", "domain"},
		{"wrong type", "POST", plans, operatorToken, `{"domains":"d1"}`, 400, "", "domains"},
		{"truncated", "POST", plans, operatorToken, `{"domains":[`, 400, "", "decode body"},
		{"empty", "POST", plans, operatorToken, ``, 400, "", "decode body"},
		{"two values", "POST", plans, operatorToken, `{}{}`, 400, "", "more than one"},
		{"plans", "GET", plans, operatorToken, "", 200, api.MethodPlans, ""},
		{"confirm", "POST", plans + "/12/confirm", operatorToken, "", 200, api.MethodDecide, ""},
		{"reject", "POST", plans + "/12/reject", operatorToken, "", 200, api.MethodDecide, ""},
		{"invalid plan number", "POST", plans + "/x/confirm", operatorToken, "", 400, "", `value \"x\"`},
		{"negative plan number", "POST", plans + "/-1/confirm", operatorToken, "", 400, "", `value \"-1\"`},
		{"unknown decision", "POST", plans + "/12/postpone", operatorToken, "", 400, "", "confirm or reject"},
		{"wait above the maximum", "POST", plans + "/12/confirm?wait_millis=60001", operatorToken, "", 400, "", "from 0 to 60000"},
		{"status", "GET", "/v1/operator/status", operatorToken, "", 200, api.MethodStatus, ""},
		{"history", "GET", "/v1/operator/history?limit=7", operatorToken, "", 200, api.MethodHistory, ""},
		{"limit above the maximum", "GET", "/v1/operator/history?limit=1001", operatorToken, "", 400, "", "from 1 to 1000"},
		{"member", "POST", "/v1/operator/members", operatorToken, `{"action":"remove","voter":"entry2"}`, 200, api.MethodMember, ""},
		{"dump without token", "GET", "/debug/state", "", "", 401, "", "token refused"},
		{"dump", "GET", "/debug/state", operatorToken, "", 200, "", "entry1"},
		{"health", "GET", "/healthz", "", "", 200, "", "ok"},
		{"not ready", "GET", "/readyz", "", "", 503, "", "no work lease"},
		{"metrics", "GET", "/metrics", "", "", 200, "", "metrics"},
		{"unknown path", "GET", "/v1/operator/secrets", operatorToken, "", 404, "", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			control := &fakeControl{}
			ctx := do(newHandler(control, &[]api.Announcement{}), c.method, c.uri, c.token, c.body)
			require.Equal(t, c.status, ctx.Response.StatusCode(), "%s", ctx.Response.Body())
			require.Equal(t, c.wantMethod, control.method)
			require.Contains(t, string(ctx.Response.Body()), c.wantBody)
		})
	}
}

func TestDecisionIsForwarded(t *testing.T) {
	control := &fakeControl{}
	do(newHandler(control, nil), "POST", "/v1/operator/plans/12/confirm?wait_millis=250", operatorToken, "")
	require.Equal(t, api.DecideRequest{Operator: "unnamed", Plan: 12, Confirm: true, WaitMillis: 250}, control.params)
}

func TestControlErrorsKeepTheirCode(t *testing.T) {
	for code, status := range statusByCode {
		control := &fakeControl{err: errs.New(code, "decide", "127.0.0.1:1", "plan 12 is stale")}
		ctx := do(newHandler(control, nil), "POST", "/v1/operator/plans/12/confirm", operatorToken, "")
		require.Equal(t, status, ctx.Response.StatusCode())
		var body ErrorBody
		require.NoError(t, json.Unmarshal(ctx.Response.Body(), &body))
		require.Equal(t, code, body.Error.Code)
		require.Contains(t, body.Error.Message, "plan 12 is stale")
	}
}

func TestAnnouncementContract(t *testing.T) {
	const valid = `{"version":1,"host":"h1","incarnation":1,"sequence":1,"address":"127.0.0.1:9000","kind":"engine","fabric":"f1","domain":"d1"}`
	cases := []struct {
		name, token, body string
		status            int
		wantBody          string
	}{
		{"valid", backendToken, valid, 200, "500"},
		{"no leader", backendToken, strings.Replace(valid, "h1", "leaderless", 1), 503, "no control leader"},
		{"no token", "", valid, 401, "token refused"},
		{"operator's token", operatorToken, valid, 401, "token refused"},
		{"wrong version", backendToken, `{"version":2}`, 400, "version"},
		{"unknown field", backendToken, `{"version":1,"mood":"fine"}`, 400, "mood"},
		{"truncated", backendToken, valid[:40], 400, ""},
		{"empty", backendToken, "", 400, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var announced []api.Announcement
			ctx := do(newHandler(&fakeControl{}, &announced), "POST", "/v1/backends/announce", c.token, c.body)
			require.Equal(t, c.status, ctx.Response.StatusCode(), "%s", ctx.Response.Body())
			require.Contains(t, string(ctx.Response.Body()), c.wantBody)
			require.Equal(t, c.status == 200, len(announced) == 1)
		})
	}
}

// TestPanicOfHandlerAnswers500 guards against one call that ends the whole process.
func TestPanicOfHandlerAnswers500(t *testing.T) {
	r := router.New()
	New(Config{
		OperatorToken: operatorToken, BackendToken: backendToken, Logger: logging.Discard(),
		DecodeAnnouncement: func([]byte) (api.Announcement, error) { panic("an unexpected message") },
		Metrics:            func(*fasthttp.RequestCtx) {},
		Announce:           func(api.Announcement) (api.AnnounceResponse, error) { return api.AnnounceResponse{}, nil },
	}).Mount(r)
	ctx := do(r.Handler, "POST", "/v1/backends/announce", backendToken, "{}")
	require.Equal(t, fasthttp.StatusInternalServerError, ctx.Response.StatusCode())
	require.True(t, ctx.Response.ConnectionClose())
}
