package ingress

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestShutdownTakesNoRequestThatMayBeCut guards against an entry that accepts a request shortly
// before it exits and closes the connection without the whole answer.
func TestShutdownTakesNoRequestThatMayBeCut(t *testing.T) {
	const least = 3 * time.Second
	for name, c := range map[string]struct {
		left     time.Duration
		deadline string
		status   int
	}{
		"ends before the exit":      {least / 3, "500", 200},
		"enough time left":          {2 * least, "9000", 200},
		"may last beyond the exit":  {least - 100*time.Millisecond, "4000", 503},
		"in the last moment before": {10 * time.Millisecond, "4000", 503},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			scribe := newFakeServer(t, "s1", serveEvents(3))
			h.scribe(scribe)
			h.server.BeginShutdown(time.Now().Add(c.left), least)
			h.state.SetLeaving()
			res := h.send("POST", "/draft/1", "prompt", "Deadline", c.deadline)
			require.Equal(t, c.status, res.StatusCode)
			require.True(t, res.Close)
			if c.status == 503 {
				require.NotEmpty(t, res.Header.Get("Retry-After"))
				require.Zero(t, scribe.arrived.Load(), "a refused request has not run")
			}
		})
	}
}
