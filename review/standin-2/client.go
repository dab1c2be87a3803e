//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var nextID atomic.Uint64

// document is the configuration of the small deployment.
func document(version uint64) map[string]any {
	route := func(name, prefix, kind, service string, timeout, aim int, extra map[string]any) map[string]any {
		out := map[string]any{
			"name": name, "host": callerHost, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeout, "targetLatencyMs": aim,
			"priority": 1, "service": service, "maxAttempts": 2, "public": false,
		}
		for k, v := range extra {
			out[k] = v
		}
		return out
	}
	stream := map[string]any{"sticky": true, "resumable": true, "gapAimMs": 300}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("r-plan", "/plan/", "streaming", "assistant", 8000, 300, stream),
			route("r-book", "/book/", "unsafe", "crew-app", 800, 150, map[string]any{"maxAttempts": 1}),
			route("r-read", "/read/", "safe", "crew-app", 800, 150, nil),
		},
		"services": []any{
			map[string]any{
				"name": "assistant", "healthPath": "/health", "maxConns": 474, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0,
				"engine": map[string]any{
					"slots": engineSlots, "kvCapacity": 1590000, "kvTokenBytes": 327680, "linkMbps": 400000.0, "stride": 7,
					"models":  []any{map[string]any{"name": modelName, "size": modelSize, "share": 1.0, "pace": 1.0, "loadS": loadTime.Seconds(), "warmS": warmTime.Seconds()}},
					"step_ms": 5.95, "per_seq_ms": 0.0445, "context_per_k": 0.00813, "read_per_s": 50700.0, "pairs_per_m": 0.368, "chunk": 2048,
					"report_lag_ms": 200.0, "loadsPerS": 4.5, "loads_at_once": 6, "delays": []any{}, "usual": map[string]any{"prompt": 1115, "answer": 178},
					"keeps": 1, "far_x": 2.5, "formMs": 300.0,
				},
			},
			map[string]any{"name": "crew-app", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": callerAccount, "apiKeys": []string{callerKey}, "priority": 1}},
	}
}

// answer is what a client got.
type answer struct {
	id     string
	status int
	seal   string
	body   string
	err    error
	took   time.Duration
}

func (a answer) String() string {
	return fmt.Sprintf("status %d, seal %q, %d bytes, err %v, after %s", a.status, a.seal, len(a.body), a.err, a.took.Round(time.Millisecond))
}

// send sends one request on a connection of its own.
func (s *system) send(entry *daemon, method, path, body string, deadline time.Duration, header map[string]string) answer {
	id := fmt.Sprintf("%016x", 0x9c41d07b00000000+nextID.Add(1))
	return s.sendAs(entry, id, method, path, body, deadline, header)
}

func (s *system) sendAs(entry *daemon, id, method, path, body string, deadline time.Duration, header map[string]string) answer {
	began := time.Now()
	a := answer{id: id}
	client := &http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	request, err := http.NewRequest(method, "http://"+entry.address(portFront)+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	request.Host = callerHost
	request.Header.Set(headerID, id)
	request.Header.Set(headerKey, callerKey)
	request.Header.Set(headerDeadline, fmt.Sprint(deadline.Milliseconds()))
	for k, v := range header {
		request.Header.Set(k, v)
	}
	s.rec.log("client: %s %s %s sent to %s", id, method, path, entry.name)
	response, err := client.Do(request)
	if err == nil {
		var raw []byte
		raw, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.status, a.seal, a.body = response.StatusCode, response.Header.Get(headerSeal), string(raw)
	}
	a.err, a.took = err, time.Since(began)
	s.rec.log("client: %s: %s", id, a)
	return a
}

// sendStream sends a request to the model.
func (s *system) sendStream(entry *daemon, path string) answer {
	return s.send(entry, http.MethodPost, path, "prompt", 8*time.Second, map[string]string{
		headerModel: modelName, headerTokens: "1460,80", headerPrompt: fmt.Sprintf("5c1e07a2:800,91bd3f06:410,%08x:250", nextID.Load()),
	})
}

// awaitServed waits until a request of each kind is served.
func (s *system) awaitServed(limit time.Duration) error {
	until := time.Now().Add(limit)
	for time.Now().Before(until) {
		if s.sendStream(s.entries[0], "/plan/x").status == http.StatusOK && s.send(s.entries[0], http.MethodPost, "/book/x", "b", 1500*time.Millisecond, nil).status == http.StatusOK {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("requests are not served within %s", limit)
}
