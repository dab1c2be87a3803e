package ingress

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// largeView returns a view with a publication of the given version and number of routes, and
// with a number of replicas.
func largeView(t testing.TB, version uint64, routes, replicas int) api.View {
	p := publication()
	p.Version = version
	for i := range routes {
		r := p.Routes[i%len(p.Routes)]
		r.Name, r.PathPrefix = fmt.Sprint("r", i), fmt.Sprintf("/p%d/", i)
		p.Routes = append(p.Routes, r)
	}
	view := api.View{Revision: api.Revision(version), Publication: packed(t, p)}
	for i := range replicas {
		view.Groups = append(view.Groups, api.Group{
			ID: api.GroupID(fmt.Sprint("g", i)), ServingGroup: api.EngineGroupName("scribe", testModel), Service: "scribe", Model: testModel,
			Domain: "cairo", Members: []api.HostID{api.HostID(fmt.Sprint("h", i))}, Fencing: 1, Phase: api.GroupReady, Open: true,
			Address: "127.0.0.1:9", HeadIncarnation: 1,
		})
	}
	return view
}

// BenchmarkVersionBesideRequests applies one version after the other, and reports the longest
// time for which a request waits for its routes meanwhile.
func BenchmarkVersionBesideRequests(b *testing.B) {
	for _, c := range []struct{ routes, replicas int }{{4000, 50}, {20, 1000}} {
		b.Run(fmt.Sprintf("%d routes, %d replicas", c.routes, c.replicas), func(b *testing.B) {
			h := newHarness(b)
			views := []api.View{largeView(b, 1, c.routes, c.replicas), largeView(b, 2, c.routes, c.replicas)}
			var longest atomic.Int64
			done := make(chan struct{})
			finished := make(chan struct{})
			go func() {
				defer close(finished)
				for {
					select {
					case <-done:
						return
					default:
					}
					began := time.Now()
					h.server.state.current()
					longest.Store(max(longest.Load(), int64(time.Since(began))))
				}
			}()
			for n := 0; b.Loop(); n++ {
				view := views[n%2]
				view.Revision = api.Revision(n + 2)
				h.state.Apply(view)
				h.server.Apply(h.state.Snapshot())
			}
			close(done)
			<-finished
			b.ReportMetric(float64(longest.Load())/1e6, "ms-longest-wait")
		})
	}
}
