package ingress

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRefusalLogsPoolState fills the only server of a service and checks that the log
// gives the state of the pool when the wait of a request timed out.
func TestRefusalLogsPoolState(t *testing.T) {
	h := newHarness(t)
	h.ledger()
	require.Equal(t, 503, h.send("GET", "/read/1", "").StatusCode)
	require.Contains(t, h.logs.String(), "cause=\"place request (peer ledger): no target can take the request: 0 targets")

	h.ledger(newFakeServer(t, "l1", echo))
	pool := h.server.state.pool("ledger")
	for range 4 {
		placeOn(t, pool, "l1", 0)
	}
	res := h.send("GET", "/read/1", "", "Deadline", "150")
	require.Equal(t, 503, res.StatusCode)
	logs := h.logs.String()
	require.Contains(t, logs, "reason=overloaded")
	require.Contains(t, logs, "no slot became free in time: 1 targets, 0 suspected here, 0 by other entries, 4 running requests")
	require.Regexp(t, `reason=overloaded .* queued_ms=1[0-9][0-9] `, logs)
	require.NotEmpty(t, res.Header.Get("Retry-After"))
}
