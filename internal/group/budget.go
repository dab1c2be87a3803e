package group

import (
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// budget is a token bucket over the bytes read from the weight store. A
// load larger than the burst leaves a debt that delays the next one.
type budget struct {
	tokens   float64
	refilled time.Time
}

// start assumes the worst case: that an earlier leader started the loads in
// progress just now, with an empty bucket.
func (b *budget) start(v *api.FleetView, now time.Time) {
	b.refilled = now
	b.tokens = 0
	sizes := make(map[api.ServingGroupName]int64, len(v.ServingGroups))
	for i := range v.ServingGroups {
		sizes[v.ServingGroups[i].Name] = v.ServingGroups[i].LoadBytes
	}
	loading := 0.0
	for i := range v.Groups {
		g := &v.Groups[i]
		if g.Phase == api.GroupLoading {
			loading += float64(sizes[g.ServingGroup]) * float64(len(g.Members))
		}
	}
	b.tokens -= loading
}

func (b *budget) refill(p *Policy, now time.Time) {
	b.tokens += float64(p.LoadRate) * now.Sub(b.refilled).Seconds()
	b.tokens = min(b.tokens, p.burst())
	b.refilled = now
}

func affordable(tokens float64, p *Policy, bytes int64) bool {
	if p.LoadRate <= 0 || bytes <= 0 {
		return true
	}
	return tokens >= min(float64(bytes), p.burst())
}

func (b *budget) spend(bytes int64) { b.tokens -= float64(bytes) }
