package ingress

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/crashes"
	"github.com/crocusway/crocusway/internal/peer"
	"github.com/crocusway/crocusway/internal/placement"
)

// reporter sends load reports to other entries and progress reports of replicas to
// control.
type reporter struct {
	server *Server
	// progressDue wakes the progress loop.
	progressDue chan struct{}

	loads       *loadExchange
	quarantines quarantineReports
	// newer holds a reported newer publication until it is handled; further reports are
	// dropped meanwhile.
	newer chan newerPublication
}

func newReporter(s *Server) *reporter {
	return &reporter{
		server: s, progressDue: make(chan struct{}, 1), loads: newLoadExchange(s.cfg.Self), newer: make(chan newerPublication, 1),
	}
}

// Register adds the handlers for the calls of other entries.
func (s *Server) Register(r peer.Registrar) {
	r.Handle(api.MethodLoads, peer.Typed(s.reporter.handleLoads))
	r.Handle(api.MethodView, peer.Typed(s.reporter.handleView))
}

// requestProgressReport sends the next progress report without delay.
func (r *reporter) requestProgressReport() {
	select {
	case r.progressDue <- struct{}{}:
	default:
	}
}

func (r *reporter) run(ctx context.Context) error {
	loads := time.NewTicker(loadReportInterval)
	defer loads.Stop()
	var loops sync.WaitGroup
	defer loops.Wait()
	loops.Go(func() { r.progressLoop(ctx) })
	loops.Go(func() { r.catchUpLoop(ctx) })
	loops.Go(func() { r.quarantineLoop(ctx) })
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-loads.C:
			r.server.checkLinks(ctx)
			r.sendLoads()
			for _, pool := range r.server.state.allPools() {
				pool.PlaceWaiting()
			}
		}
	}
}

// sendLoads sends the reports that are due.
func (r *reporter) sendLoads() {
	var loads []api.Load
	for _, pool := range r.server.state.allPools() {
		loads = pool.Loads(loads, r.server.links.all)
	}
	n := ownReport{loads: loads, crashes: r.server.crashes.Take(time.Now()), publication: r.server.state.publication()}
	n.linksLost = r.server.links.all.Lost()
	entries := r.server.cfg.State.Snapshot().Entries
	for _, d := range r.loads.dueReports(time.Now(), n, entries) {
		// The next report makes up for a lost one.
		if err := r.server.cfg.Peers.Notify(d.to.PeerAddress, api.MethodLoads, d.report); err != nil {
			level.Debug(r.server.logger).Log("msg", "Failed to send load report", "entry", d.to.ID, "err", err)
		}
	}
}

// handleLoads applies the report of another entry.
func (r *reporter) handleLoads(_ context.Context, report api.LoadReport) (api.Empty, error) {
	now := time.Now()
	r.server.crashes.RecordRemote(crashes.Report{Crashes: report.Crashes, Answers: report.Answers}, now)
	r.checkPublication(&report)
	if report.LinksLost {
		r.server.links.markLost(report.Entry, now.Add(placement.ReportLifetime))
	}
	for _, work := range r.loads.applyReport(now, &report) {
		loads := make(map[string]api.Load, len(work.loads))
		for _, l := range work.loads {
			loads[l.Target] = l
		}
		for _, pool := range r.server.state.allPools() {
			pool.SetRemoteLoads(work.source, loads)
		}
	}
	return api.Empty{}, nil
}

// progressLoop reports progress to control at intervals, and at once when a replica
// stalls.
func (r *reporter) progressLoop(ctx context.Context) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-r.progressDue:
		}
		r.sendProgress()
	}
}

func (r *reporter) sendProgress() {
	report := api.ProgressReport{Entry: r.server.cfg.Self.ID}
	for _, pool := range r.server.state.allPools() {
		report.Groups = pool.Progress(report.Groups, r.server.links.all)
	}
	if len(report.Groups) == 0 {
		return
	}
	ctx, cancel := withTimeout(progressTimeout)
	defer cancel()
	if err := r.server.cfg.Control.Call(ctx, api.MethodProgress, report, &api.Empty{}); err != nil {
		level.Debug(r.server.logger).Log("msg", "Failed to send progress report", "err", err)
	}
}
