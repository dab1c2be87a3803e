package ingress

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/peer"
)

// share tells other entries of this entry's work, and control of the progress of
// replicas.
type share struct {
	server *Server
	// urgent wakes the progress loop.
	urgent chan struct{}

	mu       sync.Mutex
	sequence uint64
	// newest is the newest report of each entry process.
	newest map[api.EntryID]uint64
	last   []api.Load
	sentAt time.Time
}

func newShare(s *Server) *share {
	return &share{server: s, urgent: make(chan struct{}, 1), newest: make(map[api.EntryID]uint64)}
}

// Register adds the handler of other entries' reports.
func (s *Server) Register(r peer.Registrar) {
	r.Handle(api.MethodLoads, peer.Typed(s.share.receive))
}

// urge asks for a progress report soon.
func (h *share) urge() {
	select {
	case h.urgent <- struct{}{}:
	default:
	}
}

func (h *share) run(ctx context.Context) error {
	loads := time.NewTicker(shareInterval)
	defer loads.Stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.reportProgress(ctx)
	}()
	defer func() { <-done }()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-loads.C:
			h.sendLoads()
			for _, pool := range h.server.board.all() {
				pool.Pump()
			}
		}
	}
}

// sendLoads sends a report if the work has changed since the last one, or while
// work goes on.
func (h *share) sendLoads() {
	var loads []api.Load
	for _, pool := range h.server.board.all() {
		loads = pool.Loads(loads)
	}
	crashed := h.server.crashes.take()
	if !h.due(loads) && len(crashed) == 0 {
		return
	}
	report := api.LoadReport{
		Entry: h.server.cfg.Self.ID, Incarnation: h.server.cfg.Self.Incarnation, Sequence: h.next(loads), Loads: loads,
		Crashes: crashed,
	}
	for _, e := range h.server.cfg.State.Snapshot().Entries {
		if !e.Live || e.ID == h.server.cfg.Self.ID {
			continue
		}
		// A lost report is made up for by the next one.
		if err := h.server.cfg.Peers.Notify(e.PeerAddress, api.MethodLoads, report); err != nil {
			level.Debug(h.server.logger).Log("msg", "load report not sent", "entry", e.ID, "err", err)
		}
	}
}

// due reports whether a report tells something new, or the last one is about to
// run out.
func (h *share) due(loads []api.Load) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(loads) == 0 && len(h.last) == 0 {
		return false
	}
	return !sameLoads(loads, h.last) || time.Since(h.sentAt) >= shareRefresh
}

func sameLoads(a, b []api.Load) bool {
	if len(a) != len(b) {
		return false
	}
	old := make(map[string]api.Load, len(b))
	for _, l := range b {
		old[l.Target] = l
	}
	for _, l := range a {
		if old[l.Target] != l {
			return false
		}
	}
	return true
}

func (h *share) next(loads []api.Load) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sequence++
	h.last, h.sentAt = loads, time.Now()
	return h.sequence
}

// receive takes the report of another entry. Reports may overtake each other.
func (h *share) receive(_ context.Context, r api.LoadReport) (api.Empty, error) {
	h.server.crashes.learn(r.Crashes, time.Now())
	h.mu.Lock()
	if r.Sequence <= h.newest[r.Entry] {
		h.mu.Unlock()
		return api.Empty{}, nil
	}
	h.newest[r.Entry] = r.Sequence
	h.mu.Unlock()
	loads := make(map[string]api.Load, len(r.Loads))
	for _, l := range r.Loads {
		loads[l.Target] = l
	}
	for _, pool := range h.server.board.all() {
		pool.Remote(r.Entry, loads)
	}
	return api.Empty{}, nil
}

// reportProgress tells control regularly, and at once of a replica that stands
// still.
func (h *share) reportProgress(ctx context.Context) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-h.urgent:
		}
		h.sendProgress()
	}
}

func (h *share) sendProgress() {
	report := api.ProgressReport{Entry: h.server.cfg.Self.ID}
	for _, pool := range h.server.board.all() {
		report.Groups = pool.Progress(report.Groups)
	}
	if len(report.Groups) == 0 {
		return
	}
	ctx, cancel := withTimeout(progressTimeout)
	defer cancel()
	if err := h.server.cfg.Control.Call(ctx, api.MethodProgress, report, &api.Empty{}); err != nil {
		level.Debug(h.server.logger).Log("msg", "progress not reported", "err", err)
	}
}
