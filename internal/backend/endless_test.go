package backend

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestEndlessBytesEndTheCall expects a call or stream to fail long before its deadline
// when the server sends bytes that are no answer without end.
func TestEndlessBytesEndTheCall(t *testing.T) {
	const (
		stall    = time.Second
		deadline = time.Minute
	)
	for name, response := range map[string]string{
		"bytes":                 endless + strings.Repeat("x", 4096),
		"lines":                 endless + strings.Repeat("x\r\n", 1000),
		"empty lines":           endless + strings.Repeat("\r\n", 1000),
		"a header":              "HTTP/1.1 200 OK\r\nX: " + endless + strings.Repeat("x", 4096),
		"headers":               "HTTP/1.1 200 OK\r\n" + endless + strings.Repeat("X: x\r\n", 1000),
		"interim responses":     endless + strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100),
		"other interim":         endless + strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 100),
		"responses to others":   endless + strings.Repeat(jsonResponse("other", "{}"), 100),
		"a body":                "HTTP/1.1 200 OK\r\nCrocusway-Request: {id}\r\n\r\n" + endless + strings.Repeat("x", 4096),
		"a chunk size":          streamHead("{id}") + endless + strings.Repeat("1", 4096),
		"a chunk extension":     streamHead("{id}") + "5;" + endless + strings.Repeat("x", 4096),
		"trailer lines":         streamHead("{id}") + "0\r\n" + endless + strings.Repeat("X: x\r\n", 1000),
		"one event":             streamHead("{id}") + endless + chunk(strings.Repeat("x", 4096)),
		"lines of one event":    streamHead("{id}") + endless + chunk(strings.Repeat("x:\n", 1000)),
		"events without data":   streamHead("{id}") + endless + chunk(strings.Repeat(":x\n\n", 1000)),
		"chunks after the end":  streamHead("{id}") + done + endless + chunk(strings.Repeat("x", 4096)),
		"trailer after the end": streamHead("{id}") + done + "0\r\n" + endless + strings.Repeat("X: x\r\n", 1000),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startScriptedServer(t, func(int) string { return response })
			c := testClient(t, func(cfg *Config) { cfg.StallTimeout = stall })
			r := engineRequest(s.addr())
			began := time.Now()
			r.Deadline = began.Add(deadline)
			answer, err := c.Do(t.Context(), r)
			if err == nil && answer.Stream != nil {
				for err == nil {
					var ev Event
					if ev, err = answer.Stream.Next(); ev.Done {
						break
					}
				}
				_ = answer.Stream.Close()
			}
			ended := time.Since(began)
			require.Less(t, ended, 3*stall, "%v", err)
			if !strings.HasSuffix(name, "after the end") {
				require.Error(t, err)
			}
		})
	}
}
