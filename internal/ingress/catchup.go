package ingress

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

// An entry learns of a new publication by its watch. While the control leader is
// short of processor time, some watches are answered seconds after others. Load
// reports name the publication that their sender obeys; an entry that is behind
// takes the view from one that is not. Views are committed state, so that any
// entry's is as good as the leader's.

const (
	// catchUpDelay gives the entry's own watch the time that it usually takes.
	catchUpDelay = 200 * time.Millisecond
	// catchUpTimeout bounds the call to the other entry.
	catchUpTimeout = 500 * time.Millisecond
)

// ahead is an entry that obeys a newer publication than this one did.
type ahead struct {
	entry       api.EntryID
	publication uint64
}

// compare notes an entry that obeys a newer publication.
func (h *share) compare(r *api.LoadReport) {
	if r.Publication <= h.server.board.publication() {
		return
	}
	select {
	case h.behind <- ahead{r.Entry, r.Publication}:
	default:
	}
}

// catchUpLoop takes views from entries that obey a newer publication.
func (h *share) catchUpLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case other := <-h.behind:
			if !pause(ctx, catchUpDelay) {
				return
			}
			if h.server.board.publication() < other.publication {
				h.catchUp(ctx, other.entry)
			}
		}
	}
}

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// catchUp takes the view of one entry.
func (h *share) catchUp(ctx context.Context, id api.EntryID) {
	other := h.server.cfg.State.Snapshot().Entry(id)
	if other == nil || h.server.cfg.Adopt == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	var view api.View
	if err := h.server.cfg.Peers.Call(ctx, other.PeerAddress, api.MethodView, api.Empty{}, &view); err != nil {
		level.Warn(h.server.logger).Log("msg", "View not taken from another entry", "entry", id, "err", err)
		return
	}
	before := h.server.board.publication()
	h.server.cfg.Adopt(view)
	level.Info(h.server.logger).Log("msg", "View taken from another entry", "entry", id, "revision", view.Revision,
		"publication_before", before, "publication", h.server.board.publication())
}

// view answers entry.view.
func (h *share) view(context.Context, api.Empty) (api.View, error) {
	snapshot := h.server.cfg.State.Snapshot()
	if snapshot.Publication == nil {
		return api.View{}, errs.New(errs.Unavailable, "read view", "", "this entry has none yet")
	}
	return snapshot.View, nil
}
