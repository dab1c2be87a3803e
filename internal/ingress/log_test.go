package ingress

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRefusalTellsWhatItWasDecidedOn fills the only server of a service and looks
// into the log for what a request that waits in vain was refused on.
func TestRefusalTellsWhatItWasDecidedOn(t *testing.T) {
	r := newRig(t)
	r.ledger()
	require.Equal(t, 503, r.send("GET", "/read/1", "").StatusCode)
	require.Contains(t, r.logs.String(), "cause=\"place request (peer ledger): no target can take the request: 0 targets")

	r.ledger(newStandIn(t, "l1", echo))
	pool := r.server.board.pool("ledger")
	for range 4 {
		placeOn(t, pool, "l1", 0)
	}
	res := r.send("GET", "/read/1", "", "Deadline", "150")
	require.Equal(t, 503, res.StatusCode)
	logs := r.logs.String()
	require.Contains(t, logs, "reason=overloaded")
	require.Contains(t, logs, "no place became free in time: 1 targets, 0 of them suspected, 4 requests on them")
	require.Regexp(t, `reason=overloaded .* queued_ms=1[0-9][0-9] `, logs)
	require.NotEmpty(t, res.Header.Get("Retry-After"))
}
