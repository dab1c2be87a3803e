package pipeline

import (
	"sync"
	"time"
)

const (
	// runTimeWeight is the weight of the newest run in the moving averages.
	runTimeWeight = 0.1
	// runTimeShards is the number of independently locked parts.
	runTimeShards = 16
)

// runTimes estimates the run times of each model, from dispatch to the end of a
// complete answer, by the requested number of tokens. It is safe for concurrent
// use.
type runTimes struct {
	shards [runTimeShards]runTimeShard
}

type runTimeShard struct {
	mu      sync.Mutex
	byModel map[string]*modelRunTime
}

// modelRunTime holds the estimates of one model: for requests with a number of
// tokens, and for those without.
type modelRunTime struct {
	sized   runTimeFit
	unsized runTimeFit
}

// runTimeFit is an exponentially weighted linear regression of the run time on
// the requested tokens. Times are in seconds.
type runTimeFit struct {
	observed   bool
	meanTokens float64
	meanTime   float64
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

// observe adds the run time of one complete answer. tokens is the requested
// number, 0 if none was given.
func (t *runTimes) observe(model string, tokens int, runTime time.Duration) {
	s := t.shard(model)
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.byModel[model]
	if m == nil {
		m = &modelRunTime{}
		s.byModel[model] = m
	}
	if tokens == 0 {
		m.unsized.add(0, runTime.Seconds())
		return
	}
	m.sized.add(float64(tokens), runTime.Seconds())
}

// estimate returns the estimated run time of a request for a number of tokens, 0
// if no run of the model was observed.
func (t *runTimes) estimate(model string, tokens int) time.Duration {
	s := t.shard(model)
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.byModel[model]
	if m == nil {
		return 0
	}
	if tokens == 0 && m.unsized.observed || !m.sized.observed {
		return seconds(m.unsized.meanTime)
	}
	if tokens == 0 {
		return seconds(m.sized.meanTime)
	}
	return seconds(m.sized.predict(float64(tokens)))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// add updates the regression with one run.
func (f *runTimeFit) add(tokens, runTime float64) {
	if !f.observed {
		*f = runTimeFit{observed: true, meanTokens: tokens, meanTime: runTime}
		return
	}
	tokensDelta, timeDelta := tokens-f.meanTokens, runTime-f.meanTime
	f.meanTokens += runTimeWeight * tokensDelta
	f.meanTime += runTimeWeight * timeDelta
	f.variance = (1 - runTimeWeight) * (f.variance + runTimeWeight*tokensDelta*tokensDelta)
	f.covariance = (1 - runTimeWeight) * (f.covariance + runTimeWeight*tokensDelta*timeDelta)
}

// predict returns the time for a number of tokens above 0. Neither the intercept
// nor the slope is negative. If the observed numbers of tokens hardly vary, the
// time is taken as proportional to them.
func (f *runTimeFit) predict(tokens float64) float64 {
	perToken := f.meanTime / f.meanTokens
	if f.variance >= 1 {
		perToken = min(max(f.covariance/f.variance, 0), perToken)
	}
	return f.meanTime + perToken*(tokens-f.meanTokens)
}
