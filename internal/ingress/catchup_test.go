package ingress

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
)

// viewPeers answers entry.view with a view.
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

// newCatchUpRig is an entry that obeys publication 1 and knows another entry, which
// obeys the next one.
func newCatchUpRig(t *testing.T) (*rig, *viewPeers) {
	r := newRig(t)
	r.view.Publication.Version = 1
	r.view.Entries = []api.EntryInfo{{ID: "e2", PeerAddress: "e2:1", Domain: "cairo", Live: true}}
	r.ledger(newStandIn(t, "l1", echo))
	next := *r.view.Publication
	next.Version = 2
	next.Routes = append(next.Routes[:len(next.Routes):len(next.Routes)], next.Routes[0])
	next.Routes[len(next.Routes)-1].PathPrefix = "/added/"
	peers := &viewPeers{view: r.view}
	peers.view.Revision, peers.view.Publication = r.view.Revision+10, &next
	r.server.cfg.Peers = peers
	r.server.cfg.Adopt = func(v api.View) {
		if r.state.Apply(v) {
			r.server.Apply(r.state.Snapshot())
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.server.share.catchUpLoop(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return r, peers
}

// TestEntryBehindTakesTheViewOfAnother holds the entry's own watch up: it obeys the new
// publication all the same once another entry names it.
func TestEntryBehindTakesTheViewOfAnother(t *testing.T) {
	r, _ := newCatchUpRig(t)
	require.Equal(t, 404, r.send("GET", "/added/1", "").StatusCode)
	_, err := r.server.share.receive(t.Context(), api.LoadReport{Entry: "e2", Domain: "cairo", Sequence: 1, Publication: 2})
	require.NoError(t, err)
	require.Eventually(t, func() bool { return r.server.board.publication() == 2 }, 5*time.Second, 5*time.Millisecond)
	require.Equal(t, 200, r.send("GET", "/added/1", "").StatusCode)
	require.Contains(t, r.logs.String(), "View taken from another entry")
}

// TestWatchComesFirst lets the entry's own watch bring the publication in time.
func TestWatchComesFirst(t *testing.T) {
	r, peers := newCatchUpRig(t)
	_, err := r.server.share.receive(t.Context(), api.LoadReport{Entry: "e2", Domain: "cairo", Sequence: 1, Publication: 2})
	require.NoError(t, err)
	r.server.cfg.Adopt(peers.view)
	time.Sleep(2 * catchUpDelay)
	require.Zero(t, peers.calls.Load())
}

// TestOlderPublicationIsNoReason hears of the publication that the entry obeys.
func TestOlderPublicationIsNoReason(t *testing.T) {
	r, peers := newCatchUpRig(t)
	for version := range uint64(2) {
		_, err := r.server.share.receive(t.Context(), api.LoadReport{Entry: "e2", Domain: "cairo", Sequence: version + 1, Publication: version})
		require.NoError(t, err)
	}
	time.Sleep(2 * catchUpDelay)
	require.Zero(t, peers.calls.Load())
}

// TestViewIsAnsweredOnceThereIsOne answers other entries.
func TestViewIsAnsweredOnceThereIsOne(t *testing.T) {
	r := newRig(t)
	_, err := r.server.share.view(t.Context(), api.Empty{})
	require.Error(t, err)
	r.apply()
	view, err := r.server.share.view(t.Context(), api.Empty{})
	require.NoError(t, err)
	require.Equal(t, r.view.Revision, view.Revision)
}
