package ingress

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/clock"
	"github.com/crocusway/crocusway/internal/crashes"
)

const (
	// quarantineInterval is the time between two checks for new verdicts.
	quarantineInterval = 50 * time.Millisecond
	// maxQuarantineReports bounds the reports that wait for control.
	maxQuarantineReports = 256
)

// quarantineReports are the changes of quarantines that control has not acknowledged. It
// is safe for concurrent use.
type quarantineReports struct {
	mu      sync.Mutex
	pending map[string]api.QuarantineRequest
}

// add queues a report. A newer one on the same quarantine replaces it.
func (q *quarantineReports) add(r api.QuarantineRequest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.pending == nil {
		q.pending = make(map[string]api.QuarantineRequest)
	}
	if len(q.pending) < maxQuarantineReports {
		q.pending[r.Fingerprint] = r
	}
}

// take returns the queued reports.
func (q *quarantineReports) take() []api.QuarantineRequest {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make([]api.QuarantineRequest, 0, len(q.pending))
	for _, r := range q.pending {
		out = append(out, r)
	}
	clear(q.pending)
	return out
}

// quarantineLoop reports verdicts and the results of trials to control.
func (r *reporter) quarantineLoop(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, quarantineInterval)
		r.server.settleCrashes()
		r.sendQuarantines(ctx)
	}
}

func (r *reporter) sendQuarantines(ctx context.Context) {
	for _, v := range r.server.crashes.Unconfirmed(time.Now()) {
		q := api.Quarantine{Fingerprint: crashes.Fingerprint(v.Keys), Keys: keyNames(v.Keys), Deaths: len(v.Servers)}
		if r.sendQuarantine(ctx, r.server.quarantineRequest(api.QuarantineImpose, q)) {
			r.server.crashes.Confirm(v.Keys)
		}
	}
	for _, request := range r.quarantines.take() {
		if !r.sendQuarantine(ctx, request) {
			r.quarantines.add(request)
		}
	}
}

// sendQuarantine reports whether control has acknowledged a change.
func (r *reporter) sendQuarantine(ctx context.Context, request api.QuarantineRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, progressTimeout)
	defer cancel()
	var res api.QuarantineResponse
	err := r.server.cfg.Control.Call(ctx, api.MethodQuarantine, request, &res)
	logger := level.Info(r.server.logger)
	if err != nil {
		logger = level.Warn(r.server.logger)
	}
	logger.Log("msg", "Quarantine reported", "action", request.Action, "quarantine", request.Fingerprint, "servers", request.Deaths,
		"next_trial_ms", res.RetryAfterMillis, "err", err)
	return err == nil
}
