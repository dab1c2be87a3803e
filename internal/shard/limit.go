package shard

import (
	"github.com/crocusway/crocusway/internal/api"
)

const (
	// coldFactor is the ratio of a first-token time to the baseline above which
	// it counts as slow.
	coldFactor = 4
	// coldSamples is the number of consecutive slow first tokens that make a cold
	// signal.
	coldSamples = 3
	// baselineSamples is the number of first tokens before the baseline is used.
	baselineSamples = 8
	// baselineWeight is the weight of a new sample in the baseline.
	baselineWeight = 1.0 / 16
)

// limiter is the concurrency limit of one replica. It starts at floor,
// rises to it with the first announced bearable load, and otherwise grows only
// with completed work, by one for each completed request, so it at most doubles
// with each round of completions.
type limiter struct {
	// value is the limit in concurrent requests.
	value int
	// floor is the limit to which a cold or reduced announcement resets value.
	floor int
	// ceiling is the highest limit in the current announced state.
	ceiling int
	warm    bool
	// bearable is the last announced bearable load, 0 if unknown.
	bearable int
	// baseline is the moving mean of the first-token times that are not slow, in
	// microseconds.
	baseline    float64
	samples     int
	slowSamples int
}

// newLimiter returns the initial limit of a replica.
func newLimiter(g *api.Group, defaultWarm int) limiter {
	l := limiter{}
	l.announce(g, defaultWarm)
	l.value = l.floor
	return l
}

// announce applies the announced state. A reduction takes effect immediately,
// and so does the first announcement of a bearable load.
func (l *limiter) announce(g *api.Group, defaultWarm int) {
	cold := l.warm && !g.Warm
	dropped := l.bearable > 0 && g.BearableLoad > 0 && g.BearableLoad < l.bearable
	first := l.bearable == 0 && g.BearableLoad > 0
	l.warm = g.Warm
	l.bearable = g.BearableLoad
	l.floor = max(1, g.BearableLoad)
	if g.Warm && g.BearableLoad == 0 && g.WarmLoad > 0 {
		l.floor = g.WarmLoad
	}
	l.ceiling = ceilingOf(g, defaultWarm)
	l.floor = min(l.floor, l.ceiling)
	if cold || dropped {
		l.value = l.floor
		l.samples = 0
	}
	if first {
		l.value = max(l.value, l.floor)
	}
	l.value = min(l.value, l.ceiling)
}

// ceilingOf returns the highest limit that the announced state allows.
func ceilingOf(g *api.Group, defaultWarm int) int {
	if !g.Warm && g.BearableLoad > 0 {
		return g.BearableLoad
	}
	if g.WarmLoad > 0 {
		return max(g.WarmLoad, g.BearableLoad)
	}
	return max(defaultWarm, g.BearableLoad)
}

// complete counts one completed request and its first-token time in
// microseconds, 0 if unknown.
func (l *limiter) complete(firstToken int64) {
	if firstToken > 0 && l.observeFirstToken(float64(firstToken)) {
		l.lower()
		return
	}
	if l.value < l.ceiling {
		l.value++
	}
}

// lower lowers the limit after a cold signal.
func (l *limiter) lower() {
	l.value = min(l.value, l.floor)
	if l.warm {
		l.value = 1
	}
	l.samples = 0
	l.slowSamples = 0
}

// fail halves the limit after a failed request.
func (l *limiter) fail() { l.value = max(1, l.value/2) }

// observeFirstToken updates the baseline and reports whether the sample makes a
// cold signal.
func (l *limiter) observeFirstToken(micros float64) bool {
	if l.samples >= baselineSamples && micros > coldFactor*l.baseline {
		l.slowSamples++
		return l.slowSamples >= coldSamples
	}
	l.slowSamples = 0
	if l.samples == 0 {
		l.baseline = micros
	}
	l.samples++
	l.baseline += (micros - l.baseline) * baselineWeight
	return false
}
