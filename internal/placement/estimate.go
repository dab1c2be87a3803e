package placement

import (
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// millis converts fractional milliseconds.
func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// stepTime is the time of one decode step of a replica with the given load, in
// which l.context counts tokens.
func stepTime(p *api.EngineProfile, pace float64, l load) time.Duration {
	ms := p.StepMillis + float64(l.running)*p.SequenceMillis + float64(l.context)/1000*p.ContextMillis
	return millis(ms * pace)
}

// prefillTime is the time in which a replica processes prompt tokens, without the
// decode steps in between.
func prefillTime(p *api.EngineProfile, pace float64, tokens int) time.Duration {
	if p.PrefillRate <= 0 {
		return 0
	}
	ms := float64(tokens) / p.PrefillRate * 1000
	// A prompt of n tokens has about n*n/2 attention pairs.
	ms += p.PairMillis * float64(tokens) * float64(tokens) / 2 / 1e6
	return millis(ms * pace)
}

// firstEventTime estimates the time until the first event of a request: half of the
// current pass, the prompts ahead of it, its own prompt, and one pass of decode
// steps between two chunks of prompt.
func firstEventTime(p *api.EngineProfile, pace float64, l load, prompt int) time.Duration {
	stride := max(p.Stride, 1)
	pass := time.Duration(stride) * stepTime(p, pace, l)
	chunks := 1
	if p.Chunk > 0 {
		chunks += (l.prefill + prompt) / p.Chunk
	}
	read := prefillTime(p, pace, l.prefill) + prefillTime(p, pace, prompt)
	return pass/2 + read + time.Duration(chunks)*pass
}

// decodeTime estimates the time from the first event to the last one.
func decodeTime(p *api.EngineProfile, pace float64, l load, answer int) time.Duration {
	return time.Duration(answer) * stepTime(p, pace, l)
}

// paceFactor returns the factor for a target's times, 1 if it has none.
func (s *targetState) paceFactor() float64 {
	if s.Pace > 0 {
		return s.Pace
	}
	return 1
}
