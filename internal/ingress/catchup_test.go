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
	h := newHarness(t)
	h.view.Entries = []api.EntryInfo{{ID: "e2", PeerAddress: "e2:1", Domain: "cairo", Live: true}}
	h.ledger(newFakeServer(t, "l1", echo))
	next := publication()
	next.Version = 2
	next.Routes = append(next.Routes[:len(next.Routes):len(next.Routes)], next.Routes[0])
	next.Routes[len(next.Routes)-1].PathPrefix = "/added/"
	peers := &viewPeers{view: h.view}
	peers.view.Revision, peers.view.Publication = h.view.Revision+10, packed(t, next)
	h.server.cfg.Peers = peers
	h.server.cfg.ApplyView = func(v api.View) {
		if h.state.Apply(v) {
			h.server.Apply(h.state.Snapshot())
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.server.reporter.catchUpLoop(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return h, peers
}

// TestStaleEntryFetchesViewFromAnother applies the new publication although the entry's
// own watch does not deliver it, once another entry reports it.
func TestStaleEntryFetchesViewFromAnother(t *testing.T) {
	h, _ := newCatchUpHarness(t)
	require.Equal(t, 404, h.send("GET", "/added/1", "").StatusCode)
	_, err := h.server.reporter.handleLoads(t.Context(), api.LoadReport{Entry: "e2", Domain: "cairo", Sequence: 1, Publication: 2})
	require.NoError(t, err)
	require.Eventually(t, func() bool { return h.server.state.publication() == 2 }, 5*time.Second, 5*time.Millisecond)
	require.Equal(t, 200, h.send("GET", "/added/1", "").StatusCode)
	require.Contains(t, h.logs.String(), "View fetched from another entry")
}

// TestNoFetchAfterWatchDelivered delivers the publication by the watch within the delay.
func TestNoFetchAfterWatchDelivered(t *testing.T) {
	h, peers := newCatchUpHarness(t)
	_, err := h.server.reporter.handleLoads(t.Context(), api.LoadReport{Entry: "e2", Domain: "cairo", Sequence: 1, Publication: 2})
	require.NoError(t, err)
	h.server.cfg.ApplyView(peers.view)
	time.Sleep(2 * catchUpDelay)
	require.Zero(t, peers.calls.Load())
}

// TestOlderPublicationTriggersNoFetch receives reports of the publication in force and
// of an older one.
func TestOlderPublicationTriggersNoFetch(t *testing.T) {
	h, peers := newCatchUpHarness(t)
	for version := range uint64(2) {
		_, err := h.server.reporter.handleLoads(t.Context(), api.LoadReport{Entry: "e2", Domain: "cairo", Sequence: version + 1, Publication: version})
		require.NoError(t, err)
	}
	time.Sleep(2 * catchUpDelay)
	require.Zero(t, peers.calls.Load())
}

// TestViewRequestNeedsPublication answers other entries once there is a publication.
func TestViewRequestNeedsPublication(t *testing.T) {
	h := newHarness(t)
	_, err := h.server.reporter.handleView(t.Context(), api.Empty{})
	require.Error(t, err)
	h.apply()
	view, err := h.server.reporter.handleView(t.Context(), api.Empty{})
	require.NoError(t, err)
	require.Equal(t, h.view.Revision, view.Revision)
}
