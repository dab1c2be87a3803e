package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

// TestResponseContract covers valid and invalid responses to a call without a stream.
func TestResponseContract(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nCrocusway-Request: {id}\r\n"
	cases := map[string]struct {
		response string
		body     string
		is       error
		code     errs.Code
	}{
		"whole":            {response: jsonResponse("{id}", "ok"), body: "ok"},
		"chunked":          {response: head + "Transfer-Encoding: chunked\r\n\r\n" + chunk("o") + chunk("k") + lastChunk, body: "ok"},
		"empty":            {response: jsonResponse("{id}", "")},
		"wrong id":         {response: jsonResponse("r2", "ok"), is: ErrWrongResponse, code: errs.Internal},
		"no id":            {response: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", is: ErrWrongResponse, code: errs.Internal},
		"truncated body":   {response: head + "Content-Length: 5\r\n\r\nok" + closeConn, is: io.ErrUnexpectedEOF, code: errs.Unavailable},
		"truncated chunks": {response: head + "Transfer-Encoding: chunked\r\n\r\n" + chunk("ok") + closeConn, is: io.ErrUnexpectedEOF, code: errs.Unavailable},
		"truncated header": {response: "HTTP/1.1 200 OK\r\nContent" + closeConn, code: errs.Unavailable},
		"no length":        {response: head + "\r\nok" + closeConn, is: ErrMalformed, code: errs.Internal},
		"oversized":        {response: jsonResponse("{id}", strings.Repeat("x", 101)), is: ErrTooLarge, code: errs.Internal},
		"oversized chunks": {response: head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(strings.Repeat("x", 101)) + lastChunk, is: ErrTooLarge, code: errs.Internal},
		"oversized header": {response: head + "X: " + strings.Repeat("x", maxHeaderBytes) + "\r\n\r\n", code: errs.Unavailable},
		"not HTTP":         {response: "hello there\r\n\r\n" + closeConn, code: errs.Unavailable},
		"closed":           {response: closeConn, code: errs.Unavailable},
		"status 000":       {response: "HTTP/1.1 000 OK\r\nCrocusway-Request: {id}\r\nContent-Length: 2\r\n\r\nok", code: errs.Unavailable},
		"status 600":       {response: "HTTP/1.1 600 X\r\nCrocusway-Request: {id}\r\nContent-Length: 2\r\n\r\nok", code: errs.Unavailable},
		"interim 000":      {response: "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK\r\nCrocusway-Request: {id}\r\nContent-Length: 2\r\n\r\nok", code: errs.Unavailable},
		"interim":          {response: "HTTP/1.1 100\r\n\r\nHTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n" + jsonResponse("{id}", "ok"), body: "ok"},
		"empty lines":      {response: "\r\n\r\n" + jsonResponse("{id}", "ok"), body: "ok"},
		"blank in a name":  {response: head + "X Bad: 1\r\nContent-Length: 2\r\n\r\nok", code: errs.Unavailable},
		"blank in length":  {response: head + "Content-Length: 2\r\nTransfer-Encoding : chunked\r\n\r\nok", code: errs.Unavailable},
		"folded value":     {response: head + "X: 1\r\n 2\r\nContent-Length: 2\r\n\r\nok", code: errs.Unavailable},
		"LF in a header":   {response: head + "Content-Length: 2\r\n\nX: 1\r\n\r\nok", code: errs.Unavailable},
		"old chunks":       {response: "HTTP/1.0 200 OK\r\nCrocusway-Request: {id}\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", code: errs.Unavailable},
		"signed chunk":     {response: head + "Transfer-Encoding: chunked\r\n\r\n+2\r\nok\r\n" + lastChunk, code: errs.Internal},
		"chunk extension":  {response: head + "Transfer-Encoding: chunked\r\n\r\n2;x\x00\r\nok\r\n" + lastChunk, code: errs.Internal},
		"broken trailer":   {response: head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Bad: 1\r\n\r\n", code: errs.Internal},
		"trailer":          {response: head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: 1\r\n\r\n", body: "ok"},
		"no content":       {response: "HTTP/1.1 204 No Content\r\nCrocusway-Request: {id}\r\n\r\n"},
		"silent":           {response: keepOpen, code: errs.Timeout},
		"silent body":      {response: head + "Content-Length: 5\r\n\r\nok" + keepOpen, code: errs.Timeout},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := startScriptedServer(t, func(int) string { return c.response })
			client := testClient(t, func(cfg *Config) { cfg.MaxBody = 100 })
			r := engineRequest(s.addr())
			if c.code == errs.Timeout {
				r.Deadline = time.Now().Add(100 * time.Millisecond)
			}
			response, err := client.Do(t.Context(), r)
			if c.code == "" {
				require.NoError(t, err)
				require.Equal(t, c.body, string(response.Body))
				return
			}
			require.Error(t, err)
			require.Equal(t, c.code, errs.CodeOf(err), "%v", err)
			require.NotErrorIs(t, err, ErrNotSent)
			if c.is != nil {
				require.ErrorIs(t, err, c.is)
			}
			_, _ = client.Do(t.Context(), withDeadline(r))
			require.Equal(t, int64(2), s.conns.Load(), "connection reused after an invalid response")
		})
	}
}

func withDeadline(r Request) Request {
	r.Deadline = time.Now().Add(100 * time.Millisecond)
	return r
}

func TestConnectionIsReusedAfterCompleteResponse(t *testing.T) {
	s := startScriptedServer(t, func(int) string { return jsonResponse("{id}", "ok") })
	client := testClient(t, nil)
	for range 5 {
		_, err := client.Do(t.Context(), engineRequest(s.addr()))
		require.NoError(t, err)
	}
	require.Equal(t, int64(1), s.conns.Load())
}

// TestLateResponseIsDiscarded sends a second response after the first, like a
// server that responds late to a call that timed out.
func TestLateResponseIsDiscarded(t *testing.T) {
	s := startScriptedServer(t, func(n int) string {
		if n == 1 {
			return jsonResponse("{id}", "own") + jsonResponse("r0", "late")
		}
		return jsonResponse("{id}", "own")
	})
	client := testClient(t, nil)
	for range 2 {
		response, err := client.Do(t.Context(), engineRequest(s.addr()))
		require.NoError(t, err)
		require.Equal(t, "own", string(response.Body))
	}
}

// TestServiceCallUsesNewConnection checks that a call that is not safe to repeat
// uses no idle connection, which the server may have closed.
func TestServiceCallUsesNewConnection(t *testing.T) {
	s := startScriptedServer(t, func(int) string { return jsonResponse("{id}", "ok") })
	client := testClient(t, nil)
	r := engineRequest(s.addr())
	r.Fencing = 0
	for range 3 {
		_, err := client.Do(t.Context(), r)
		require.NoError(t, err)
	}
	require.Equal(t, int64(3), s.conns.Load())
}

func TestFailedRequestIsNotRetried(t *testing.T) {
	s := startScriptedServer(t, func(n int) string {
		if n == 1 {
			return jsonResponse("{id}", "ok")
		}
		return closeConn
	})
	client := testClient(t, nil)
	get := Request{ID: "r1", Address: s.addr(), Method: "GET", Path: "/x"}
	_, err := client.Do(t.Context(), get)
	require.NoError(t, err)
	_, err = client.Do(t.Context(), get)
	require.Error(t, err)
	require.NotErrorIs(t, err, ErrNotSent)
	require.Equal(t, int64(2), s.requests.Load())
}

// TestNotSent covers the failures before the first byte is written.
func TestNotSent(t *testing.T) {
	s := startScriptedServer(t, func(int) string { return jsonResponse("{id}", "ok") })
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closed := ln.Addr().String()
	require.NoError(t, ln.Close())
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	refuse := errors.New("lease expired")
	cases := map[string]struct {
		ctx    context.Context
		change func(*Request)
		code   errs.Code
	}{
		"no listener":      {change: func(r *Request) { r.Address = closed }, code: errs.Unavailable},
		"deadline passed":  {change: func(r *Request) { r.Deadline = time.Now().Add(-time.Second) }, code: errs.Timeout},
		"context canceled": {ctx: canceled, change: func(*Request) {}, code: errs.Timeout},
		"refused check":    {change: func(r *Request) { r.BeforeWrite = func() error { return refuse } }, code: errs.Unavailable},
		"split path":       {change: func(r *Request) { r.Path = "/x HTTP/1.1\r\nX: y" }, code: errs.Invalid},
		"relative path":    {change: func(r *Request) { r.Path = "x" }, code: errs.Invalid},
		"split method":     {change: func(r *Request) { r.Method = "GET /y" }, code: errs.Invalid},
		"split type":       {change: func(r *Request) { r.ContentType = "a\r\nX: y" }, code: errs.Invalid},
		"split key":        {change: func(r *Request) { r.IdempotencyKey = "a\nb" }, code: errs.Invalid},
		"no id":            {change: func(r *Request) { r.ID = "" }, code: errs.Invalid},
		"GET with a body":  {change: func(r *Request) { r.Method = "GET" }, code: errs.Invalid},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := engineRequest(s.addr())
			c.change(&r)
			ctx := t.Context()
			if c.ctx != nil {
				ctx = c.ctx
			}
			_, err := testClient(t, nil).Do(ctx, r)
			require.ErrorIs(t, err, ErrNotSent)
			require.Equal(t, c.code, errs.CodeOf(err), "%v", err)
			var typed *errs.Error
			require.ErrorAs(t, err, &typed)
			require.Equal(t, r.Address, typed.Peer)
			require.Equal(t, int64(0), s.requests.Load())
		})
	}
}

func TestContextEndsCall(t *testing.T) {
	s := startScriptedServer(t, func(int) string { return keepOpen })
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		_, err := testClient(t, nil).Do(ctx, engineRequest(s.addr()))
		done <- err
	}()
	require.Eventually(t, func() bool { return s.requests.Load() == 1 }, testTimeout, pollInterval)
	cancel()
	err := <-done
	require.Equal(t, errs.Timeout, errs.CodeOf(err), "%v", err)
	require.NotErrorIs(t, err, ErrNotSent)
}

func TestOrderContract(t *testing.T) {
	order := api.Order{Version: 1, Kind: api.OrderAssign, Host: "h1", Group: "g1", Fencing: 9}
	status := func(line string) string {
		return "HTTP/1.1 " + line + "\r\nCrocusway-Request: {id}\r\nContent-Length: 0\r\n\r\n"
	}
	cases := map[string]struct {
		response string
		code     errs.Code
	}{
		"accepted":      {jsonResponse("{id}", `{"accepted":true,"host":"h1","incarnation":3,"fencing":9}`), ""},
		"other host":    {jsonResponse("{id}", `{"accepted":true,"host":"h2","incarnation":3,"fencing":9}`), errs.Internal},
		"unknown field": {jsonResponse("{id}", `{"accepted":true,"host":"h1","more":1}`), errs.Internal},
		"not JSON":      {jsonResponse("{id}", `ok`), errs.Internal},
		"denied":        {status("401 Unauthorized"), errs.Denied},
		"no orders":     {status("404 Not Found"), errs.NotFound},
		"failed":        {status("500 Internal Server Error"), errs.Internal},
		"stream":        {streamHead("{id}") + done + lastChunk, errs.Internal},
		"lost":          {closeConn, errs.Unavailable},
		"status 000": {
			strings.Replace(jsonResponse("{id}", `{"accepted":true,"host":"h1","incarnation":3,"fencing":9}`), "200", "000", 1),
			errs.Unavailable,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := startScriptedServer(t, func(int) string { return c.response })
			result, err := testClient(t, nil).Send(t.Context(), s.addr(), order)
			if c.code != "" {
				require.Equal(t, c.code, errs.CodeOf(err), "%v", err)
				return
			}
			require.NoError(t, err)
			require.Equal(t, api.OrderResult{Accepted: true, Host: "h1", Incarnation: 3, Fencing: 9}, result)
			require.JSONEq(t, `{"version":1,"kind":"assign","host":"h1","group":"g1","fencing":9}`, s.bodies[0])
		})
	}
}

func TestCancelNamesRequest(t *testing.T) {
	s := startScriptedServer(t, func(int) string { return jsonResponse("{id}", "{}") })
	require.NoError(t, testClient(t, nil).Cancel(t.Context(), s.addr(), "r1"))
	require.JSONEq(t, `{"request":"r1"}`, s.bodies[0])
}
