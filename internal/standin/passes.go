package standin

import (
	"slices"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// Passes simulates the timing of one engine replica. A pass prefills one chunk of a
// prompt, whose last chunk yields one token, and decodes a stride of tokens for
// each request that is already prefilled. Memory holds the tokens of all running
// requests; when it is full, the newest request is preempted and prefilled again.
// Passes does no I/O and is not safe for concurrent use.
type Passes struct {
	profile *api.EngineProfile
	// timeFactor multiplies all durations.
	timeFactor float64
	running    []*passRequest
	waiting    []*passRequest
	// endsAt is the end of the pass in progress, valid while inProgress is set.
	endsAt     time.Time
	inProgress bool
	stalled    bool
}

// Work is one request, with the lengths of its prompt and answer in tokens.
type Work struct {
	ID     string
	Prompt int
	Answer int
}

// Output is the result of a pass for one request.
type Output struct {
	ID string
	// Tokens is the number of generated tokens.
	Tokens int
	// Done is set with the last tokens.
	Done bool
	// Preempted is set when the request lost its memory and must be prefilled
	// again.
	Preempted bool
}

type passRequest struct {
	Work
	// toPrefill is the number of tokens still to be prefilled, held the number in
	// memory.
	toPrefill int
	held      int
	generated int
}

// queueBeyondSlots is the number of requests that a replica accepts beyond its
// slots.
const queueBeyondSlots = 4

// NewPasses returns an idle replica.
func NewPasses(profile *api.EngineProfile, timeFactor float64) *Passes {
	if timeFactor <= 0 {
		timeFactor = 1
	}
	return &Passes{profile: profile, timeFactor: timeFactor}
}

// Add queues a request. It returns false if the queue is full or if the request is
// larger than the memory.
func (p *Passes) Add(w Work) bool {
	if p.profile.MemoryTokens > 0 && w.Prompt+w.Answer > p.profile.MemoryTokens {
		return false
	}
	if p.profile.Slots > 0 && len(p.running)+len(p.waiting) >= p.profile.Slots+queueBeyondSlots {
		return false
	}
	p.waiting = append(p.waiting, &passRequest{Work: w, toPrefill: w.Prompt})
	return true
}

// Remove removes a running or waiting request.
func (p *Passes) Remove(id string) {
	dropped := func(w *passRequest) bool { return w.ID == id }
	p.running = slices.DeleteFunc(p.running, dropped)
	p.waiting = slices.DeleteFunc(p.waiting, dropped)
}

// Stall stops the replica permanently, as the loss of a member does.
func (p *Passes) Stall() { p.stalled = true }

// Held returns the number of tokens in memory.
func (p *Passes) Held() int {
	n := 0
	for _, w := range p.running {
		n += w.held
	}
	return n
}

// Advance finishes every pass that ends by now, starts the next one and returns the
// results.
func (p *Passes) Advance(now time.Time) []Output {
	var out []Output
	for !p.stalled {
		if p.inProgress {
			if now.Before(p.endsAt) {
				break
			}
			out = append(out, p.finish()...)
			p.inProgress = false
		} else {
			p.endsAt = now
		}
		p.admit()
		if len(p.running) == 0 {
			break
		}
		p.endsAt = p.endsAt.Add(p.duration())
		p.inProgress = true
	}
	return out
}

// admit starts waiting requests while slots and memory are available.
func (p *Passes) admit() {
	for len(p.waiting) > 0 && (p.profile.Slots == 0 || len(p.running) < p.profile.Slots) {
		next := p.waiting[0]
		if p.isFull(next.toPrefill) {
			return
		}
		p.waiting = p.waiting[1:]
		p.running = append(p.running, next)
	}
}

// isFull reports whether memory cannot hold more tokens beyond those of the running
// requests, including the ones still to be prefilled. It returns false if no request
// is running.
func (p *Passes) isFull(more int) bool {
	if p.profile.MemoryTokens == 0 || len(p.running) == 0 {
		return false
	}
	for _, w := range p.running {
		more += w.held + w.toPrefill
	}
	return more > p.profile.MemoryTokens
}

// nextPrefill returns the request that the pass prefills and the number of tokens, or
// nil.
func (p *Passes) nextPrefill() (*passRequest, int) {
	for _, w := range p.running {
		if w.toPrefill > 0 {
			chunk := w.toPrefill
			if p.profile.Chunk > 0 {
				chunk = min(chunk, p.profile.Chunk)
			}
			return w, chunk
		}
	}
	return nil, 0
}

// duration returns the duration of a pass over the running requests.
func (p *Passes) duration() time.Duration {
	ms := 0.0
	if w, chunk := p.nextPrefill(); w != nil && p.profile.PrefillRate > 0 {
		pairs := float64(chunk) * (float64(w.held) + float64(chunk)/2)
		ms += float64(chunk)/p.profile.PrefillRate*1000 + p.profile.PairMillis*pairs/1e6
	}
	decoding, context := 0, 0
	for _, w := range p.running {
		if w.toPrefill == 0 {
			decoding++
			context += w.held
		}
	}
	if decoding > 0 {
		step := p.profile.StepMillis + float64(decoding)*p.profile.SequenceMillis + float64(context)/1000*p.profile.ContextMillis
		ms += float64(max(1, p.profile.Stride)) * step
	}
	return time.Duration(ms * p.timeFactor * float64(time.Millisecond))
}

// finish applies the results of the pass in progress.
func (p *Passes) finish() []Output {
	prefilling, chunk := p.nextPrefill()
	var out []Output
	for _, w := range p.running {
		if w.toPrefill > 0 {
			continue
		}
		out = append(out, w.decode(max(1, p.profile.Stride)))
	}
	if prefilling != nil {
		prefilling.toPrefill -= chunk
		prefilling.held += chunk
		if prefilling.toPrefill == 0 {
			out = append(out, prefilling.decode(1))
		}
	}
	p.running = slices.DeleteFunc(p.running, func(w *passRequest) bool { return w.toPrefill == 0 && w.generated >= w.Answer })
	return append(out, p.preempt()...)
}

// decode adds up to n tokens to the answer.
func (w *passRequest) decode(n int) Output {
	n = min(n, w.Answer-w.generated)
	w.generated += n
	w.held += n
	return Output{ID: w.ID, Tokens: n, Done: w.generated >= w.Answer}
}

// preempt moves the newest requests back to the queue until the others fit in
// memory; the last running request is kept.
func (p *Passes) preempt() []Output {
	var out []Output
	for p.profile.MemoryTokens > 0 && p.Held() > p.profile.MemoryTokens && len(p.running) > 1 {
		newest := p.running[len(p.running)-1]
		p.running = p.running[:len(p.running)-1]
		newest.toPrefill, newest.held = newest.Prompt+newest.generated, 0
		p.waiting = slices.Insert(p.waiting, 0, newest)
		out = append(out, Output{ID: newest.ID, Preempted: true})
	}
	return out
}
