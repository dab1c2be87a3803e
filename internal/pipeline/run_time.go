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

// runTimes estimates the run times of each model, from dispatch to the end of a
// whole answer, by the number of tokens that the caller asked for. It is safe
// for concurrent use.
type runTimes struct {
	shards [runTimeShards]runTimeShard
}

type runTimeShard struct {
	mu      sync.Mutex
	byModel map[string]*modelRunTime
}

// modelRunTime keeps the runs of one model: those that asked for a number of
// tokens, and those that left it to the engine.
type modelRunTime struct {
	sized   runTimeFit
	unsized runTimeFit
}

// runTimeFit is a straight line through the run times over the requested tokens,
// with the older runs fading out. Times are in seconds.
type runTimeFit struct {
	known      bool
	tokens     float64
	time       float64
	variance   float64
	covariance float64
}

func newRunTimes() *runTimes {
	t := &runTimes{}
	for i := range t.shards {
		t.shards[i].byModel = make(map[string]*modelRunTime)
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

// observe learns the run time of one whole answer. tokens is the number that the
// caller asked for, 0 if it named none.
func (t *runTimes) observe(model string, tokens int, took time.Duration) {
	s := t.shard(model)
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.byModel[model]
	if m == nil {
		m = &modelRunTime{}
		s.byModel[model] = m
	}
	if tokens == 0 {
		m.unsized.add(0, took.Seconds())
		return
	}
	m.sized.add(float64(tokens), took.Seconds())
}

// estimate returns the likely run time of a request for a number of tokens, 0 if
// no run of the model is known.
func (t *runTimes) estimate(model string, tokens int) time.Duration {
	s := t.shard(model)
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.byModel[model]
	if m == nil {
		return 0
	}
	if tokens == 0 && m.unsized.known || !m.sized.known {
		return seconds(m.unsized.time)
	}
	if tokens == 0 {
		return seconds(m.sized.time)
	}
	return seconds(m.sized.at(float64(tokens)))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// add moves the line towards one run.
func (f *runTimeFit) add(tokens, took float64) {
	if !f.known {
		*f = runTimeFit{known: true, tokens: tokens, time: took}
		return
	}
	moreTokens, moreTime := tokens-f.tokens, took-f.time
	f.tokens += runTimeWeight * moreTokens
	f.time += runTimeWeight * moreTime
	f.variance = (1 - runTimeWeight) * (f.variance + runTimeWeight*moreTokens*moreTokens)
	f.covariance = (1 - runTimeWeight) * (f.covariance + runTimeWeight*moreTokens*moreTime)
}

// at returns the time for a number of tokens above 0. The base is never below 0,
// and no token takes less than no time. Runs of one length only are taken for
// proportional to it.
func (f *runTimeFit) at(tokens float64) float64 {
	perToken := f.time / f.tokens
	if f.variance >= 1 {
		perToken = min(max(f.covariance/f.variance, 0), perToken)
	}
	return f.time + perToken*(tokens-f.tokens)
}
