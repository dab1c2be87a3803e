package ingress

import (
	"context"
	"net/http"
	"strings"
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

// TestStreamAtItsLimitIsNoCrash guards against requests that are quarantined because streams
// end at their deadline or with their caller.
func TestStreamAtItsLimitIsNoCrash(t *testing.T) {
	h := newHarness(t)
	server := newFakeServer(t, "a-slow", func(r *received) {
		r.beginStream()
		r.events(1)
		<-r.gone
	})
	h.scribe(server)
	_, whole := text(h.send("POST", "/draft/1", "prompt", "Deadline", "300"))
	require.False(t, whole)
	require.Eventually(t, func() bool { return strings.Contains(h.logs.String(), "reason=deadline") }, waitFor, pollInterval)

	ctx, leave := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.ln.Addr().String()+"/draft/1", strings.NewReader("prompt"))
	require.NoError(t, err)
	req.Host = testHost
	req.Header.Set("Key", testKey)
	req.Header.Set("Model", testModel)
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	leave()
	_ = res.Body.Close()
	require.Eventually(t, func() bool { return strings.Contains(h.logs.String(), "reason=caller_left") }, waitFor, pollInterval)
	require.NotContains(t, h.logs.String(), "Server may have crashed")
}
