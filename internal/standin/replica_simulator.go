package standin

import (
	"slices"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// ReplicaSimulator simulates the timing of one engine replica. A pass prefills one
// chunk of a prompt, whose last chunk yields one token, and decodes a stride of
// tokens for each request that is already prefilled. Memory holds the tokens of all
// running requests; when it is full, the newest request is preempted and prefilled
// again.
// ReplicaSimulator does no I/O and is not safe for concurrent use.
type ReplicaSimulator struct {
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
	// toPrefill is the number of tokens still to be prefilled, inMemory the number in
	// memory.
	toPrefill int
	inMemory  int
	generated int
}

// queueBeyondSlots is the number of requests that a replica accepts beyond its
// slots.
const queueBeyondSlots = 4

// NewReplicaSimulator returns an idle replica.
func NewReplicaSimulator(profile *api.EngineProfile, timeFactor float64) *ReplicaSimulator {
	if timeFactor <= 0 {
		timeFactor = 1
	}
	return &ReplicaSimulator{profile: profile, timeFactor: timeFactor}
}

// Add queues a request. It returns false if the queue is full or if the request is
// larger than the memory.
func (s *ReplicaSimulator) Add(w Work) bool {
	if s.profile.MemoryTokens > 0 && w.Prompt+w.Answer > s.profile.MemoryTokens {
		return false
	}
	if s.profile.Slots > 0 && len(s.running)+len(s.waiting) >= s.profile.Slots+queueBeyondSlots {
		return false
	}
	s.waiting = append(s.waiting, &passRequest{Work: w, toPrefill: w.Prompt})
	return true
}

// Remove removes a running or waiting request.
func (s *ReplicaSimulator) Remove(id string) {
	dropped := func(w *passRequest) bool { return w.ID == id }
	s.running = slices.DeleteFunc(s.running, dropped)
	s.waiting = slices.DeleteFunc(s.waiting, dropped)
}

// Stall stops the replica permanently, as the loss of a member does.
func (s *ReplicaSimulator) Stall() { s.stalled = true }

// UsedTokens returns the number of tokens in memory.
func (s *ReplicaSimulator) UsedTokens() int {
	n := 0
	for _, w := range s.running {
		n += w.inMemory
	}
	return n
}

// Advance finishes every pass that ends by now, starts the next one and returns the
// results.
func (s *ReplicaSimulator) Advance(now time.Time) []Output {
	var out []Output
	for !s.stalled {
		if s.inProgress {
			if now.Before(s.endsAt) {
				break
			}
			out = append(out, s.finish()...)
			s.inProgress = false
		} else {
			s.endsAt = now
		}
		s.admit()
		if len(s.running) == 0 {
			break
		}
		s.endsAt = s.endsAt.Add(s.duration())
		s.inProgress = true
	}
	return out
}

// admit starts waiting requests while slots and memory are available.
func (s *ReplicaSimulator) admit() {
	for len(s.waiting) > 0 && (s.profile.Slots == 0 || len(s.running) < s.profile.Slots) {
		next := s.waiting[0]
		if s.isFull(next.toPrefill) {
			return
		}
		s.waiting = s.waiting[1:]
		s.running = append(s.running, next)
	}
}

// isFull reports whether memory cannot hold more tokens beyond those of the running
// requests, including the ones still to be prefilled. It returns false if no request
// is running.
func (s *ReplicaSimulator) isFull(more int) bool {
	if s.profile.MemoryTokens == 0 || len(s.running) == 0 {
		return false
	}
	for _, w := range s.running {
		more += w.inMemory + w.toPrefill
	}
	return more > s.profile.MemoryTokens
}

// nextPrefill returns the request that the pass prefills and the number of tokens, or
// nil.
func (s *ReplicaSimulator) nextPrefill() (*passRequest, int) {
	for _, w := range s.running {
		if w.toPrefill > 0 {
			chunk := w.toPrefill
			if s.profile.Chunk > 0 {
				chunk = min(chunk, s.profile.Chunk)
			}
			return w, chunk
		}
	}
	return nil, 0
}

// duration returns the duration of a pass over the running requests.
func (s *ReplicaSimulator) duration() time.Duration {
	ms := 0.0
	if w, chunk := s.nextPrefill(); w != nil && s.profile.PrefillRate > 0 {
		pairs := float64(chunk) * (float64(w.inMemory) + float64(chunk)/2)
		ms += float64(chunk)/s.profile.PrefillRate*1000 + s.profile.PairMillis*pairs/1e6
	}
	decoding, context := 0, 0
	for _, w := range s.running {
		if w.toPrefill == 0 {
			decoding++
			context += w.inMemory
		}
	}
	if decoding > 0 {
		step := s.profile.StepMillis + float64(decoding)*s.profile.SequenceMillis + float64(context)/1000*s.profile.ContextMillis
		ms += float64(max(1, s.profile.Stride)) * step
	}
	return time.Duration(ms * s.timeFactor * float64(time.Millisecond))
}

// finish applies the results of the pass in progress.
func (s *ReplicaSimulator) finish() []Output {
	prefilling, chunk := s.nextPrefill()
	var out []Output
	for _, w := range s.running {
		if w.toPrefill > 0 {
			continue
		}
		out = append(out, w.decode(max(1, s.profile.Stride)))
	}
	if prefilling != nil {
		prefilling.toPrefill -= chunk
		prefilling.inMemory += chunk
		if prefilling.toPrefill == 0 {
			out = append(out, prefilling.decode(1))
		}
	}
	s.running = slices.DeleteFunc(s.running, func(w *passRequest) bool { return w.toPrefill == 0 && w.generated >= w.Answer })
	return append(out, s.preempt()...)
}

// decode adds up to n tokens to the answer.
func (w *passRequest) decode(n int) Output {
	n = min(n, w.Answer-w.generated)
	w.generated += n
	w.inMemory += n
	return Output{ID: w.ID, Tokens: n, Done: w.generated >= w.Answer}
}

// preempt moves the newest requests back to the queue until the others fit in
// memory; the last running request is kept.
func (s *ReplicaSimulator) preempt() []Output {
	var out []Output
	for s.profile.MemoryTokens > 0 && s.UsedTokens() > s.profile.MemoryTokens && len(s.running) > 1 {
		newest := s.running[len(s.running)-1]
		s.running = s.running[:len(s.running)-1]
		newest.toPrefill, newest.inMemory = newest.Prompt+newest.generated, 0
		s.waiting = slices.Insert(s.waiting, 0, newest)
		out = append(out, Output{ID: newest.ID, Preempted: true})
	}
	return out
}
