package pipeline

import (
	"sync"
	"time"
)

const (
	// runTimeWeight is the share of the newest run in the smoothed run time.
	runTimeWeight = 0.1
	// runTimeShards is the number of independently locked parts.
	runTimeShards = 16
)

// runTimes keeps a smoothed run time of each model, from dispatch to the end of
// a whole answer. It is safe for concurrent use.
type runTimes struct {
	shards [runTimeShards]runTimeShard
}

type runTimeShard struct {
	mu      sync.Mutex
	byModel map[string]time.Duration
}

func newRunTimes() *runTimes {
	t := &runTimes{}
	for i := range t.shards {
		t.shards[i].byModel = make(map[string]time.Duration)
	}
	return t
}

func (t *runTimes) shard(model string) *runTimeShard {
	sum := 0
	for i := range len(model) {
		sum += int(model[i])
	}
	return &t.shards[sum%runTimeShards]
}

// observe learns the run time of one whole answer.
func (t *runTimes) observe(model string, took time.Duration) {
	s := t.shard(model)
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.byModel[model]
	if !known {
		s.byModel[model] = took
		return
	}
	s.byModel[model] = old + time.Duration(runTimeWeight*float64(took-old))
}

// estimate returns the smoothed run time of a model, 0 if none is known.
func (t *runTimes) estimate(model string) time.Duration {
	s := t.shard(model)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byModel[model]
}
