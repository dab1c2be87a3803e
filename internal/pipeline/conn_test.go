package pipeline

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/backend"
)

func TestSlowRequestIsRefused(t *testing.T) {
	h := newHarness(Settings{ReadTimeout: 50 * time.Millisecond})
	a := exchange(t, h, "POST /v1/chat/completions HTTP/1.1\r\nHost: e\r\nContent-Length: 100\r\n\r\n{")
	require.Equal(t, 408, a.status)
	require.Equal(t, api.OutcomeNotRun, a.outcome())
	require.True(t, a.closed)
}

// TestPipelinedAnswersKeepRequestOrder sends requests on one connection without
// waiting for answers.
func TestPipelinedAnswersKeepRequestOrder(t *testing.T) {
	h := newHarness(Settings{})
	h.backends.do = func(_ context.Context, r backend.Request) (*backend.Response, error) {
		if strings.Contains(string(r.Body), `"stream":true`) {
			return streamOf(&fakeStream{events: tokens(0, 2)}), nil
		}
		return &backend.Response{Status: 200, Body: []byte("answer to " + string(r.Body))}, nil
	}
	ln := fasthttputil.NewInmemoryListener()
	done := make(chan error, 1)
	go func() { done <- h.server.HTTP().Serve(ln) }()
	conn, err := ln.Dial()
	require.NoError(t, err)
	bodies := []string{
		chatBody, `{"model":"scribe-1","messages":[{"n":1}]}`, `{"model":"other","messages":[{"n":2}]}`, chatBody,
		`{"model":"scribe-1","messages":[{"n":3}]}`,
	}
	go func() {
		for _, body := range bodies {
			_, _ = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testKey, len(body), body)
		}
	}()
	reader := bufio.NewReader(conn)
	ids := map[string]bool{}
	for _, body := range bodies {
		res, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		data, err := io.ReadAll(res.Body)
		require.NoError(t, err)
		_ = res.Body.Close()
		switch {
		case body == chatBody:
			require.True(t, strings.HasSuffix(string(data), "data: [DONE]\n\n"))
		case strings.Contains(body, "other"):
			require.Equal(t, 404, res.StatusCode)
		default:
			require.Equal(t, "answer to "+body, string(data))
		}
		ids[res.Header.Get(api.HeaderRequest)] = true
	}
	require.Len(t, ids, len(bodies))
	_ = conn.Close()
	_ = ln.Close()
	require.NoError(t, <-done)
	h.server.Wait()
	require.Zero(t, h.grants.outstanding())
}

// TestConnectionBeyondTheLimitIsRefused opens one connection more than the limit.
// The first stays open and is served again.
func TestConnectionBeyondTheLimitIsRefused(t *testing.T) {
	h := newHarness(Settings{MaxConns: 1})
	h.backends.do = func(context.Context, backend.Request) (*backend.Response, error) {
		return &backend.Response{Status: 200, Body: []byte("{}")}, nil
	}
	ln := fasthttputil.NewInmemoryListener()
	done := make(chan error, 1)
	go func() { done <- h.server.HTTP().Serve(ln) }()
	first, err := ln.Dial()
	require.NoError(t, err)
	ask := func(conn net.Conn) answer {
		body := `{"model":"scribe-1","messages":[{"n":1}]}`
		go func() {
			_, _ = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testKey, len(body), body)
		}()
		res, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, res.Body)
		require.NoError(t, err)
		require.NoError(t, res.Body.Close())
		return answer{status: res.StatusCode, header: res.Header, closed: res.Close}
	}
	require.Equal(t, 200, ask(first).status)
	second, err := ln.Dial()
	require.NoError(t, err)
	res := ask(second)
	require.Equal(t, 503, res.status)
	require.Equal(t, api.OutcomeNotRun, res.outcome())
	require.NotEmpty(t, res.header.Get(fasthttp.HeaderRetryAfter))
	require.True(t, res.closed)
	require.Equal(t, 200, ask(first).status)
	_ = first.Close()
	_ = second.Close()
	_ = ln.Close()
	require.NoError(t, <-done)
}
