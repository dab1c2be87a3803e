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

	exchange *exchange
	// behind names an entry that obeys a newer publication.
	behind chan ahead
}

func newShare(s *Server) *share {
	return &share{
		server: s, urgent: make(chan struct{}, 1), exchange: newExchange(s.cfg.Self), behind: make(chan ahead, 1),
	}
}

// Register adds the handler of other entries' reports.
func (s *Server) Register(r peer.Registrar) {
	r.Handle(api.MethodLoads, peer.Typed(s.share.receive))
	r.Handle(api.MethodView, peer.Typed(s.share.view))
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
	var loops sync.WaitGroup
	defer loops.Wait()
	loops.Go(func() { h.reportProgress(ctx) })
	loops.Go(func() { h.catchUpLoop(ctx) })
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

// sendLoads sends the reports that are due.
func (h *share) sendLoads() {
	var loads []api.Load
	for _, pool := range h.server.board.all() {
		loads = pool.Loads(loads)
	}
	n := news{loads: loads, crashes: h.server.crashes.take(), publication: h.server.board.publication()}
	entries := h.server.cfg.State.Snapshot().Entries
	for _, d := range h.exchange.outgoing(time.Now(), n, entries) {
		// A lost report is made up for by the next one.
		if err := h.server.cfg.Peers.Notify(d.to.PeerAddress, api.MethodLoads, d.report); err != nil {
			level.Debug(h.server.logger).Log("msg", "load report not sent", "entry", d.to.ID, "err", err)
		}
	}
}

// receive takes the report of another entry.
func (h *share) receive(_ context.Context, r api.LoadReport) (api.Empty, error) {
	now := time.Now()
	h.server.crashes.learn(r.Crashes, now)
	h.compare(&r)
	for _, work := range h.exchange.incoming(now, &r) {
		loads := make(map[string]api.Load, len(work.loads))
		for _, l := range work.loads {
			loads[l.Target] = l
		}
		for _, pool := range h.server.board.all() {
			pool.Remote(work.source, loads)
		}
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
