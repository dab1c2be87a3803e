package ingress

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/clock"
	"github.com/crocusway/crocusway/internal/errs"
)

// An entry receives a new publication through its watch. While the control leader is
// short of CPU time, some watches are answered seconds after others. Load reports name
// the publication in force at their sender; an entry with an older one fetches the
// view of the sender. Views are committed state, so that any entry's is as good as the
// leader's.

const (
	// catchUpDelay is the time that the entry's own watch usually needs.
	catchUpDelay = 200 * time.Millisecond
	// catchUpTimeout bounds the call to the other entry.
	catchUpTimeout = 500 * time.Millisecond
)

// newerPublication is a publication newer than the one in force here, and the entry
// that reported it.
type newerPublication struct {
	entry       api.EntryID
	publication uint64
}

// checkPublication queues a fetch from an entry with a newer publication.
func (r *reporter) checkPublication(report *api.LoadReport) {
	if report.Publication <= r.server.state.publication() {
		return
	}
	select {
	case r.newer <- newerPublication{report.Entry, report.Publication}:
	default:
	}
}

// catchUpLoop fetches views from entries with a newer publication.
func (r *reporter) catchUpLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case other := <-r.newer:
			if !clock.Sleep(ctx, catchUpDelay) {
				return
			}
			if r.server.state.publication() < other.publication {
				r.fetchView(ctx, other.entry)
			}
		}
	}
}

// fetchView fetches and applies the view of one entry.
func (r *reporter) fetchView(ctx context.Context, id api.EntryID) {
	other := r.server.cfg.State.Snapshot().Entry(id)
	if other == nil || r.server.cfg.ApplyView == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	var view api.View
	if err := r.server.cfg.Peers.Call(ctx, other.PeerAddress, api.MethodView, api.Empty{}, &view); err != nil {
		level.Warn(r.server.logger).Log("msg", "Failed to fetch view from another entry", "entry", id, "err", err)
		return
	}
	before := r.server.state.publication()
	r.server.cfg.ApplyView(view)
	level.Info(r.server.logger).Log("msg", "View fetched from another entry", "entry", id, "revision", view.Revision,
		"publication_before", before, "publication", r.server.state.publication())
}

// handleView answers entry.view.
func (r *reporter) handleView(context.Context, api.Empty) (api.View, error) {
	snapshot := r.server.cfg.State.Snapshot()
	if snapshot.Publication == nil {
		return api.View{}, errs.New(errs.Unavailable, "read view", "", "this entry has received no publication yet")
	}
	return snapshot.View, nil
}
