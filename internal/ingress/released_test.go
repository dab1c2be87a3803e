package ingress

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
)

// TestEndOfAReleasedReplicaIsNoCrash guards against requests that are quarantined because
// control released the replicas that ran them.
func TestEndOfAReleasedReplicaIsNoCrash(t *testing.T) {
	for _, c := range []struct {
		name    string
		phase   api.GroupPhase
		crashes bool
	}{{"released", api.GroupReleasing, false}, {"still in the view", api.GroupReady, true}} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			begun, applied := make(chan struct{}), make(chan struct{})
			first := newFakeServer(t, "a-first", func(r *received) {
				r.beginStream()
				r.events(1)
				close(begun)
				<-applied
				_ = r.conn.Close()
			})
			h.scribe(first, newFakeServer(t, "b-good", serveEvents(3)))
			h.loadGoodReplica()
			res := h.send("POST", "/draft/1", "prompt")
			<-begun
			h.view.Groups[0].Phase = c.phase
			h.apply()
			close(applied)
			got, whole := text(res)
			require.True(t, whole)
			require.Equal(t, wholeStream(3), got)
			logged := h.logs.String()
			require.Contains(t, logged, "Stream resumed")
			if c.crashes {
				require.Contains(t, logged, "Server may have crashed")
			} else {
				require.NotContains(t, logged, "Server may have crashed")
			}
		})
	}
}
