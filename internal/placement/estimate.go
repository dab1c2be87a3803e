package placement

import (
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// millis converts fractional milliseconds.
func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// step is the time of one decode step with a number of running requests, which
// hold context tokens together.
func step(p *api.EngineProfile, pace float64, l load) time.Duration {
	ms := p.StepMillis + float64(l.running)*p.SequenceMillis + float64(l.context)/1000*p.ContextMillis
	return millis(ms * pace)
}

// reading is the time that a replica needs to read prompt tokens, without the
// decode steps in between.
func reading(p *api.EngineProfile, pace float64, tokens int) time.Duration {
	if p.PrefillRate <= 0 {
		return 0
	}
	ms := float64(tokens) / p.PrefillRate * 1000
	// A prompt of n tokens has about n*n/2 pairs.
	ms += p.PairMillis * float64(tokens) * float64(tokens) / 2 / 1e6
	return millis(ms * pace)
}

// firstEvent estimates the time until the first event of a request: the pass that
// runs now, the prompts that are read before, its own prompt, and one pass of decode
// steps between two pieces of prompt.
func firstEvent(p *api.EngineProfile, pace float64, l load, prompt int) time.Duration {
	stride := max(p.Stride, 1)
	pass := time.Duration(stride) * step(p, pace, l)
	pieces := 1
	if p.Chunk > 0 {
		pieces += (l.prefill + prompt) / p.Chunk
	}
	read := reading(p, pace, l.prefill) + reading(p, pace, prompt)
	return pass/2 + read + time.Duration(pieces)*pass
}

// writing estimates the time from the first event to the last one.
func writing(p *api.EngineProfile, pace float64, l load, answer int) time.Duration {
	return time.Duration(answer) * step(p, pace, l)
}

// paceOf returns the factor of a target's times.
func (s *state) paceOf() float64 {
	if s.Pace > 0 {
		return s.Pace
	}
	return 1
}
