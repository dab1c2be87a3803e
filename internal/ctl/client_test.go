package ctl

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/config"
	"github.com/crocusway/crocusway/internal/errs"
)

// rawDaemon answers each connection with the bytes of a response, and then closes it. It returns
// its address and the requests that it gets.
func rawDaemon(t *testing.T, response string) (address string, requests chan *http.Request) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	requests = make(chan *http.Request, 8)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			request, err := http.ReadRequest(bufio.NewReader(conn))
			if err == nil {
				body, _ := io.ReadAll(request.Body)
				request.Body = io.NopCloser(bytes.NewReader(body))
				requests <- request
				_, _ = io.WriteString(conn, response)
			}
			_ = conn.Close()
		}
	}()
	return ln.Addr().String(), requests
}

const (
	rawHistory = `{"items":[{"revision":7}]}`
	rawHead    = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
)

// TestBrokenAnswerIsNoResult guards against results that are read from answers that are no HTTP.
func TestBrokenAnswerIsNoResult(t *testing.T) {
	for name, response := range map[string]string{
		"status 000":     strings.Replace(rawHead, "200", "000", 1) + "Content-Length: 26\r\n\r\n" + rawHistory,
		"status 999":     strings.Replace(rawHead, "200", "999", 1) + "Content-Length: 26\r\n\r\n" + rawHistory,
		"field name":     rawHead + "X Y: 1\r\nContent-Length: 26\r\n\r\n" + rawHistory,
		"folded length":  rawHead + "X: 1\r\n Content-Length: 2\r\n\r\n" + rawHistory,
		"control byte":   rawHead + "X: \x00\r\nContent-Length: 26\r\n\r\n" + rawHistory,
		"chunk size":     rawHead + "Transfer-Encoding: chunked\r\n\r\n+1a\r\n" + rawHistory + "\r\n0\r\n\r\n",
		"trailer":        rawHead + "Transfer-Encoding: chunked\r\n\r\n1a\r\n" + rawHistory + "\r\n0\r\nX Y: 1\r\n\r\n",
		"cut":            rawHead + "Content-Length: 27\r\n\r\n" + rawHistory,
		"cut in chunks":  rawHead + "Transfer-Encoding: chunked\r\n\r\n1a\r\n" + rawHistory + "\r\n",
		"closed":         "",
		"no HTTP":        "rubbish\r\n\r\n",
		"oversized head": rawHead + "X: " + strings.Repeat("x", 1<<20) + "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := rawDaemon(t, response)
			client := NewClient([]string{address}, config.Secret("token"), "amal")
			_, err := client.History(1)
			require.Error(t, err)
			require.Equal(t, errs.Unavailable, errs.CodeOf(err), "%v", err)

			other, _ := rawDaemon(t, rawHead+"Content-Length: 26\r\n\r\n"+rawHistory)
			client = NewClient([]string{address, other}, config.Secret("token"), "amal")
			items, err := client.History(1)
			require.NoError(t, err, "another daemon is asked")
			require.Equal(t, uint64(7), uint64(items[0].Revision))
		})
	}
}

// TestSoundAnswerIsTheResult covers the forms of an answer, and what the daemon gets.
func TestSoundAnswerIsTheResult(t *testing.T) {
	for name, response := range map[string]string{
		"length":      rawHead + "Content-Length: 26\r\n\r\n" + rawHistory,
		"chunks":      rawHead + "Transfer-Encoding: chunked\r\n\r\n1a;x\r\n" + rawHistory + "\r\n0\r\nX: y\r\n\r\n",
		"until close": rawHead + "\r\n" + rawHistory,
		"interim":     "HTTP/1.1 100 Continue\r\n\r\n" + rawHead + "Content-Length: 26\r\n\r\n" + rawHistory,
		"large":       rawHead + "\r\n" + rawHistory + strings.Repeat(" ", 1<<20),
	} {
		t.Run(name, func(t *testing.T) {
			address, requests := rawDaemon(t, response)
			items, err := NewClient([]string{address}, config.Secret("token"), "amal").History(5)
			require.NoError(t, err)
			require.Equal(t, uint64(7), uint64(items[0].Revision))
			request := <-requests
			require.Equal(t, http.MethodGet, request.Method)
			require.Equal(t, "/v1/operator/history?limit=5", request.RequestURI)
			require.Equal(t, address, request.Host)
			require.Equal(t, "Bearer token", request.Header.Get("Authorization"))
			require.Equal(t, "amal", request.Header.Get("Crocusway-Operator"))
		})
	}
}

func TestCallCarriesBodyAndKey(t *testing.T) {
	const plan = `{"plan":{"id":3}}`
	address, requests := rawDaemon(t, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", rawHead, len(plan), plan))
	client := NewClient([]string{address}, config.Secret("token"), "amal")
	intent := api.Intent{Domains: []api.Domain{{Name: "cairo", State: api.DomainDrained}}}
	got, err := client.PlanOnce(intent, "key-1")
	require.NoError(t, err)
	require.Equal(t, api.PlanID(3), got.ID)
	request := <-requests
	require.Equal(t, http.MethodPost, request.Method)
	require.Equal(t, "key-1", request.Header.Get(api.HeaderIdempotencyKey))
	var sent api.Intent
	require.NoError(t, json.NewDecoder(request.Body).Decode(&sent))
	require.Equal(t, intent, sent)
}
