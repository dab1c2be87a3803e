package backend

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// requireRefused sends a request to a server that sends a response, and requires that the
// exchange fails and its connection is not used again.
func requireRefused(t *testing.T, response string) {
	t.Helper()
	server := startScriptedServer(t, func(int) string { return response })
	f := newTestForwarder(t)
	body, err := exchange(t.Context(), f, forwardTo(server.addr(), "r", "body"))
	require.ErrorIs(t, err, ErrMalformed, "body %q", body)
	require.NotErrorIs(t, err, ErrNotSent)
	require.Nil(t, f.pool.pop(server.addr()), "connection returned to the pool")
}

// TestForwardRefusesInvalidStatus guards against a status that the HTTP library reads as 200, and
// others that no client knows.
func TestForwardRefusesInvalidStatus(t *testing.T) {
	const rest = "X-Request: r\r\nContent-Length: 2\r\n\r\nok"
	for _, line := range []string{
		"HTTP/1.1 000 OK", "HTTP/1.1 000", "HTTP/1.1 001 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 X", "HTTP/1.1 999 X",
		"HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 ", "HTTP/1.1", "HTTP/1.1200 OK",
		"HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200\tOK", "HTTP/1.x 200 OK", "HTTP/1.11 200 OK",
	} {
		t.Run(line, func(t *testing.T) {
			requireRefused(t, line+"\r\n"+rest)
		})
		t.Run("late "+line, func(t *testing.T) {
			requireRefused(t, line+"\r\nX-Request: old\r\nContent-Length: 0\r\n\r\n"+responseFor("r", "mine"))
		})
		t.Run("after an interim response "+line, func(t *testing.T) {
			requireRefused(t, "HTTP/1.1 103 Early Hints\r\n\r\n"+line+"\r\n"+rest)
		})
	}
}

func TestForwardAcceptsEveryValidStatus(t *testing.T) {
	for status := 200; status < 600; status++ {
		line := fmt.Sprintf("HTTP/1.1 %d", status)
		switch status % 3 {
		case 0:
			line += " "
		case 1:
			line += " A reason\t\xe9"
		}
		length := "Content-Length: 2\r\n\r\nok"
		if status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
			length = "\r\n"
		}
		server := startScriptedServer(t, func(int) string { return line + "\r\nX-Request: r\r\n" + length })
		_, err := exchange(t.Context(), newTestForwarder(t), forwardTo(server.addr(), "r", "body"))
		require.NoError(t, err, line)
	}
}
