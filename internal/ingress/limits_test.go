package ingress

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
)

// The limits of the publication were decoded and used by nothing.
func TestPublishedLimitsBoundRequests(t *testing.T) {
	h := newHarness(t)
	server := newFakeServer(t, "l1", echo)
	h.ledger(server)
	send := func(head, body int) int {
		return h.send("POST", "/read/x", strings.Repeat("x", body), "Fill", strings.Repeat("x", head)).StatusCode
	}
	publish := func(version uint64, limits api.CallerLimits) {
		p := publication()
		p.Version, p.Limits = version, limits
		h.view.Publication = packed(t, p)
		h.apply()
	}
	require.Equal(t, 200, send(8<<10, 100_000))
	publish(2, api.CallerLimits{MaxHeaderBytes: 4 << 10, MaxBodyBytes: 1000})
	require.Equal(t, 431, send(8<<10, 10))
	require.Equal(t, 413, send(10, 1001))
	require.Equal(t, 200, send(3<<10, 1000))
	publish(3, api.CallerLimits{})
	require.Equal(t, 200, send(8<<10, 100_000), "0 selects the settings")
}
