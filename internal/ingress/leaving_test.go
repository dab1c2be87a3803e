package ingress

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
)

// TestStreamStaysOnAPlainServerThatTakesNothingNew guards against streams that are taken from
// a sound server because a new view no longer names it.
func TestStreamStaysOnAPlainServerThatTakesNothingNew(t *testing.T) {
	for name, change := range map[string]func(v *api.View, i int){
		"leaving": func(v *api.View, i int) { v.Servers[i].Leaving = true },
		"drained failure domain": func(v *api.View, i int) {
			v.Servers[i].Domain = "delta"
			v.Domains = []api.Domain{{Name: "delta", State: api.DomainDrained}}
		},
		"not announced to control": func(v *api.View, i int) { v.Servers = append(v.Servers[:i:i], v.Servers[i+1:]...) },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			p := publication()
			p.Routes = append(p.Routes, api.Route{
				Name: "feed", Host: testHost, PathPrefix: "/feed/", Kind: api.CallStream, Resumable: true, TimeoutMillis: 5000,
				ObjectiveMillis: 300, GapObjectiveMillis: 200, MaxAttempts: 2, Split: []api.RouteShare{{Service: "ledger", Weight: 1}},
			})
			h.view.Publication = packed(t, p)
			var arrived atomic.Int64
			begun, changed := make(chan string, 2), make(chan struct{})
			answer := func(r *received) {
				arrived.Add(1)
				r.beginStream()
				r.events(1)
				begun <- r.name
				<-changed
				<-time.After(6 * pollInterval)
				for i := 2; i <= 4; i++ {
					r.chunk(event(i))
				}
				r.endStream()
			}
			h.ledger(newFakeServer(t, "s0", answer), newFakeServer(t, "s1", answer))
			res := h.send("POST", "/feed/1", "prompt")
			i := 0
			if <-begun == "s1" {
				i = 1
			}
			change(&h.view, i)
			h.apply()
			close(changed)
			got, whole := text(res)
			require.True(t, whole)
			require.Equal(t, wholeStream(4), got)
			require.Equal(t, int64(1), arrived.Load(), "no other server is asked")
		})
	}
}
