package shard

import "time"

// loadReportAge is the age above which a load report is ignored.
const loadReportAge = 5 * time.Second

// loadReport is the last load that a replica reported.
type loadReport struct {
	// queued is the number of requests that wait inside the engine.
	queued int
	at     time.Time
}

// loadScorer scores the reported queue length of the engine: 1 for an empty
// queue, approaching 0 for a long one. Without a recent report the score is 1,
// because reports supplement the owner's count and never replace it.
type loadScorer struct{}

func (loadScorer) score(c *choice, r *replica) float64 {
	if r.load.at.IsZero() || c.now.Sub(r.load.at) > loadReportAge {
		return 1
	}
	return 1 / float64(1+r.load.queued)
}
