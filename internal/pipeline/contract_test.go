package pipeline

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/backend"
	"github.com/crocusway/crocusway/internal/errs"
)

// contractCase is one request of a caller and the refusal that it gets.
type contractCase struct {
	name    string
	method  string
	path    string
	key     string
	body    string
	headers []string
	status  int
	code    string
	param   string
}

func post(name, body string, status int, code, param string) contractCase {
	return contractCase{
		name: name, method: "POST", path: "/v1/chat/completions", key: testKey, body: body,
		status: status, code: code, param: param,
	}
}

func contractCases() []contractCase {
	const ledger = "/services/ledger/deposits"
	long := strings.Repeat("k", maxKeyBytes+1)
	return []contractCase{
		{"missing key", "POST", "/v1/chat/completions", "", chatBody, nil, 401, "invalid_api_key", ""},
		{"wrong key", "POST", "/v1/chat/completions", "other", chatBody, nil, 401, "invalid_api_key", ""},
		{"wrong key on an unknown service", "GET", "/services/nothing/x", "other", "", nil, 401, "invalid_api_key", ""},
		{"wrong key before a bad body", "POST", "/v1/completions", "other", "{", nil, 401, "invalid_api_key", ""},
		{"wrong key for models", "GET", "/v1/models", "other", "", nil, 401, "invalid_api_key", ""},
		{"basic scheme", "POST", "/v1/chat/completions", "", chatBody, []string{"Authorization", "Basic " + testKey}, 401, "invalid_api_key", ""},
		post("truncated body", `{"model":"scribe-1","messages":[{"role":`, 400, "invalid_request", "body"),
		post("empty body", "", 400, "invalid_request", "body"),
		post("array body", "[]", 400, "invalid_request", "body"),
		post("missing model", `{"messages":[{}]}`, 400, "invalid_request", "model"),
		post("long model", `{"model":"`+strings.Repeat("m", 129)+`","messages":[{}]}`, 400, "invalid_request", "model"),
		post("model of wrong type", `{"model":5,"messages":[{}]}`, 400, "invalid_request", "body"),
		post("unknown model", `{"model":"other","messages":[{}]}`, 404, "model_not_found", "model"),
		post("missing messages", `{"model":"scribe-1"}`, 400, "invalid_request", "messages"),
		post("empty messages", `{"model":"scribe-1","messages":[ ]}`, 400, "invalid_request", "messages"),
		post("messages of wrong type", `{"model":"scribe-1","messages":{}}`, 400, "invalid_request", "messages"),
		post("stream of wrong type", `{"model":"scribe-1","messages":[{}],"stream":"yes"}`, 400, "invalid_request", "stream"),
		post("negative max_tokens", `{"model":"scribe-1","messages":[{}],"max_tokens":-1}`, 400, "invalid_request", "max_tokens"),
		post("huge max_completion_tokens", `{"model":"scribe-1","messages":[{}],"max_completion_tokens":99999999}`, 400, "invalid_request", "max_completion_tokens"),
		{"missing prompt", "POST", "/v1/completions", testKey, `{"model":"scribe-1"}`, nil, 400, "invalid_request", "prompt"},
		{"prompt of wrong type", "POST", "/v1/completions", testKey, `{"model":"scribe-1","prompt":7}`, nil, 400, "invalid_request", "prompt"},
		{"bad deadline", "POST", "/v1/chat/completions", testKey, chatBody, []string{api.HeaderDeadlineMillis, "soon"}, 400, "invalid_request", api.HeaderDeadlineMillis},
		{"zero deadline", "POST", "/v1/chat/completions", testKey, chatBody, []string{api.HeaderDeadlineMillis, "0"}, 400, "invalid_request", api.HeaderDeadlineMillis},
		{"oversized body", "POST", "/v1/chat/completions", testKey, strings.Repeat("x", 9000), nil, 413, "body_too_large", ""},
		{"oversized header", "POST", "/v1/chat/completions", testKey, chatBody, []string{"X-Long", strings.Repeat("h", 9000)}, 431, "header_too_large", ""},
		{"unknown path", "POST", "/v2/chat", testKey, chatBody, nil, 404, "no_route", ""},
		{"wrong method", "GET", "/v1/chat/completions", testKey, "", nil, 405, "no_route", ""},
		{"unknown service", "GET", "/services/nothing/x", testKey, "", nil, 404, "service_not_found", ""},
		{"missing idempotency key", "POST", ledger, testKey, `{}`, nil, 400, "invalid_request", api.HeaderIdempotencyKey},
		{"long idempotency key", "POST", ledger, testKey, `{}`, []string{api.HeaderIdempotencyKey, long}, 400, "invalid_request", api.HeaderIdempotencyKey},
		{"options", "OPTIONS", "/v1/chat/completions", testKey, ``, nil, 405, "no_route", ""},
		{"dot segments", "POST", "/services/ledger/quote/../deposits", testKey, `{}`, nil, 400, "invalid_request", "path"},
		{"encoded dot segments", "POST", "/services/ledger/quote/%2e%2E/deposits", testKey, `{}`, nil, 400, "invalid_request", "path"},
		{"encoded slash", "POST", "/services/ledger/quote%2fx", testKey, `{}`, nil, 400, "invalid_request", "path"},
		{"path beside a repeatable one", "POST", "/services/ledger/quotes", testKey, `{}`, nil, 400, "invalid_request", api.HeaderIdempotencyKey},
	}
}

func TestCallerContract(t *testing.T) {
	for _, tc := range contractCases() {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(Settings{MaxBodyBytes: 8 << 10, MaxHeaderBytes: 8 << 10})
			a := sendRaw(t, h, tc)
			require.Equal(t, tc.status, a.status, a.body)
			require.NotEmpty(t, a.header.Get(api.HeaderRequest))
			require.Equal(t, api.OutcomeNotRun, a.outcome())
			var body errorBody
			require.NoError(t, json.Unmarshal([]byte(a.body), &body), a.body)
			require.Equal(t, tc.code, body.Error.Code)
			require.Equal(t, tc.param, body.Error.Param)
			require.Equal(t, api.OutcomeNotRun, body.Error.Outcome)
			require.Zero(t, h.backends.runCount())
			require.Zero(t, h.grants.outstanding())
			require.Empty(t, h.control.records)
		})
	}
}

// sendRaw writes a request literally, without the corrections of a client.
func sendRaw(t *testing.T, h *harness, tc contractCase) answer {
	t.Helper()
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: entry\r\nContent-Length: %d\r\n", tc.method, tc.path, len(tc.body))
	if tc.key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", tc.key)
	}
	for i := 0; i+1 < len(tc.headers); i += 2 {
		fmt.Fprintf(&b, "%s: %s\r\n", tc.headers[i], tc.headers[i+1])
	}
	return exchange(t, h, b.String()+"\r\n"+tc.body)
}

// exchange sends bytes on a new connection and reads one answer.
func exchange(t *testing.T, h *harness, raw string) answer {
	t.Helper()
	ln := fasthttputil.NewInmemoryListener()
	srv := h.server.HTTP()
	done := make(chan error, 1)
	go func() { done <- srv.Serve(ln) }()
	conn, err := ln.Dial()
	require.NoError(t, err)
	go func() {
		_, _ = conn.Write([]byte(raw))
	}()
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	var body strings.Builder
	_, err = bufio.NewReader(res.Body).WriteTo(&body)
	require.NoError(t, err)
	_ = conn.Close()
	_ = ln.Close()
	require.NoError(t, <-done)
	return answer{status: res.StatusCode, header: res.Header, trailer: res.Trailer, body: body.String(), closed: res.Close}
}

func TestMalformedRequestsAreRefused(t *testing.T) {
	for _, tc := range []struct {
		name string
		raw  string
	}{
		{"no version", "POST\r\n\r\n"},
		{"bad content length", "POST /v1/completions HTTP/1.1\r\nHost: e\r\nContent-Length: -5\r\n\r\n"},
		{"two content lengths", "POST /v1/completions HTTP/1.1\r\nHost: e\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(Settings{})
			a := exchange(t, h, tc.raw)
			require.Equal(t, 400, a.status)
			require.Equal(t, api.OutcomeNotRun, a.outcome())
			require.True(t, a.closed)
		})
	}
}

func TestUnknownFieldsPassToTheEngine(t *testing.T) {
	h := newHarness(Settings{})
	h.backends.do = func(context.Context, backend.Request) (*backend.Response, error) {
		return &backend.Response{Status: 200, ContentType: "application/json", Body: []byte(`{}`)}, nil
	}
	body := `{"model":"scribe-1","messages":[{}],"top_k":3}`
	a := send(t, h.listen(t), "POST", "/v1/chat/completions", testKey, body)
	require.Equal(t, 200, a.status)
	require.Equal(t, body, string(h.backends.runs[0].Body))
}

func TestRefusalsOfControlAndGrants(t *testing.T) {
	full := errs.New(errs.Full, "x", "", "full")
	full.RetryAfterMillis = 2500
	for _, tc := range []struct {
		name   string
		path   string
		set    func(h *harness)
		status int
		code   string
		retry  string
	}{
		{"no slot in time", "/v1/chat/completions", func(h *harness) { h.grants.err = full }, 429, "overloaded", "3"},
		{"no replica", "/v1/chat/completions", func(h *harness) {
			h.grants.err = errs.New(errs.Unavailable, "x", "", "none")
		}, 503, "no_replica", "1"},
		{"full record store", "/services/ledger/d", func(h *harness) { h.control.fail[api.MethodRecordOpen] = full }, 503, "record_store_full", "3"},
		{"control unreachable", "/services/ledger/d", func(h *harness) {
			h.control.fail[api.MethodRecordOpen] = errs.New(errs.Timeout, "x", "", "away")
		}, 503, "control_unavailable", "1"},
		{"no work lease", "/services/ledger/d", func(h *harness) { h.state.SetLease(testPast) }, 503, "no_work_lease", "1"},
		{"leaving", "/services/ledger/d", func(h *harness) { h.state.SetLeaving() }, 503, "entry_leaving", "1"},
		{"no server", "/services/ledger/d", func(h *harness) {
			v := testView()
			v.Revision = 3
			v.Servers[0].Leaving = true
			v.Servers[1].Domain = "south"
			v.Domains = append(v.Domains, api.Domain{Name: "south", State: api.DomainDrained})
			h.state.Apply(v)
		}, 503, "no_server", "1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(Settings{})
			tc.set(h)
			a := send(t, h.listen(t), "POST", tc.path, testKey, chatBody, api.HeaderIdempotencyKey, "k")
			require.Equal(t, tc.status, a.status, a.body)
			require.Contains(t, a.body, `"code":"`+tc.code+`"`)
			require.Equal(t, tc.retry, a.header.Get(fasthttp.HeaderRetryAfter))
			require.Equal(t, api.OutcomeNotRun, a.outcome())
			require.Zero(t, h.backends.runCount())
		})
	}
}

func TestModelsAreListedOnce(t *testing.T) {
	h := newHarness(Settings{})
	v := testView()
	v.Revision = 3
	v.ServingGroups = append(v.ServingGroups, api.ServingGroup{Name: "scribe-b", Model: "scribe-1"})
	h.state.Apply(v)
	a := send(t, h.listen(t), "GET", "/v1/models", testKey, "")
	require.JSONEq(t, `{"object":"list","data":[{"id":"scribe-1","object":"model","owned_by":"crocusway"}]}`, a.body)
}
