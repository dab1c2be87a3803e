package shard

import "time"

// loadReportAge is the age at which a load report no longer counts.
const loadReportAge = 5 * time.Second

// loadReport is the last load that a replica reported of itself, with a lag.
type loadReport struct {
	// queued is the number of requests that wait inside the engine.
	queued int
	at     time.Time
}

// loadScorer rates the replica's own reported queue, from 1 for none towards 0.
// An old report counts as none: reports correct the owner's count and never
// replace it.
type loadScorer struct{}

func (loadScorer) score(c *choice, r *replica) float64 {
	if r.load.at.IsZero() || c.now.Sub(r.load.at) > loadReportAge {
		return 1
	}
	return 1 / float64(1+r.load.queued)
}
