package ingress

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
)

// viewPeers answers entry.view with a fixed view.
type viewPeers struct {
	noPeers
	view  api.View
	calls atomic.Int64
}

func (p *viewPeers) Call(_ context.Context, address string, method api.Method, _, result any) error {
	p.calls.Add(1)
	view, ok := result.(*api.View)
	if method != api.MethodView || address != "e2:1" || !ok {
		return errNoPeers
	}
	*view = p.view
	return nil
}

// newCatchUpHarness returns an entry with publication 1 in force that has another entry
// with publication 2 in its view.
func newCatchUpHarness(t *testing.T) (*harness, *viewPeers) {
	r := newHarness(t)
	r.view.Publication.Version = 1
	r.view.Entries = []api.EntryInfo{{ID: "e2", PeerAddress: "e2:1", Domain: "cairo", Live: true}}
	r.ledger(newFakeServer(t, "l1", echo))
	next := *r.view.Publication
	next.Version = 2
	next.Routes = append(next.Routes[:len(next.Routes):len(next.Routes)], next.Routes[0])
	next.Routes[len(next.Routes)-1].PathPrefix = "/added/"
	peers := &viewPeers{view: r.view}
	peers.view.Revision, peers.view.Publication = r.view.Revision+10, &next
	r.server.cfg.Peers = peers
	r.server.cfg.ApplyView = func(v api.View) {
		if r.state.Apply(v) {
			r.server.Apply(r.state.Snapshot())
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.server.reporter.catchUpLoop(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return r, peers
}

// TestStaleEntryFetchesViewFromAnother applies the new publication although the entry's
// own watch does not deliver it, once another entry reports it.
func TestStaleEntryFetchesViewFromAnother(t *testing.T) {
	r, _ := newCatchUpHarness(t)
	require.Equal(t, 404, r.send("GET", "/added/1", "").StatusCode)
	_, err := r.server.reporter.handleLoads(t.Context(), api.LoadReport{Entry: "e2", Domain: "cairo", Sequence: 1, Publication: 2})
	require.NoError(t, err)
	require.Eventually(t, func() bool { return r.server.state.publication() == 2 }, 5*time.Second, 5*time.Millisecond)
	require.Equal(t, 200, r.send("GET", "/added/1", "").StatusCode)
	require.Contains(t, r.logs.String(), "View fetched from another entry")
}

// TestNoFetchAfterWatchDelivered delivers the publication by the watch within the delay.
func TestNoFetchAfterWatchDelivered(t *testing.T) {
	r, peers := newCatchUpHarness(t)
	_, err := r.server.reporter.handleLoads(t.Context(), api.LoadReport{Entry: "e2", Domain: "cairo", Sequence: 1, Publication: 2})
	require.NoError(t, err)
	r.server.cfg.ApplyView(peers.view)
	time.Sleep(2 * catchUpDelay)
	require.Zero(t, peers.calls.Load())
}

// TestOlderPublicationTriggersNoFetch receives reports of the publication in force and
// of an older one.
func TestOlderPublicationTriggersNoFetch(t *testing.T) {
	r, peers := newCatchUpHarness(t)
	for version := range uint64(2) {
		_, err := r.server.reporter.handleLoads(t.Context(), api.LoadReport{Entry: "e2", Domain: "cairo", Sequence: version + 1, Publication: version})
		require.NoError(t, err)
	}
	time.Sleep(2 * catchUpDelay)
	require.Zero(t, peers.calls.Load())
}

// TestViewRequestNeedsPublication answers other entries once there is a publication.
func TestViewRequestNeedsPublication(t *testing.T) {
	r := newHarness(t)
	_, err := r.server.reporter.handleView(t.Context(), api.Empty{})
	require.Error(t, err)
	r.apply()
	view, err := r.server.reporter.handleView(t.Context(), api.Empty{})
	require.NoError(t, err)
	require.Equal(t, r.view.Revision, view.Revision)
}
