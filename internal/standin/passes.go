package standin

import (
	"slices"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// Passes models how one replica of an engine spends its time. A pass reads one piece of
// a prompt, whose last one yields a first token, and writes a stride of tokens for each
// request whose prompt was read before. Memory
// holds the tokens of all running requests; when it is full, the newest request is put
// back and reads everything again. It does no I/O and is not safe for concurrent use.
type Passes struct {
	profile *api.EngineProfile
	// pace multiplies all times.
	pace    float64
	running []*passWork
	waiting []*passWork
	// endsAt is when the pass in progress ends, valid while one is.
	endsAt     time.Time
	inProgress bool
	stalled    bool
}

// Work is one request: its prompt and its answer, in tokens.
type Work struct {
	ID     string
	Prompt int
	Answer int
}

// Output is what a pass did for one request.
type Output struct {
	ID string
	// Tokens is the number of tokens written.
	Tokens int
	// Done is set with the last ones.
	Done bool
	// Preempted is set when the request lost its memory and is read again.
	Preempted bool
}

type passWork struct {
	Work
	// unread counts the tokens to be read, held those in memory.
	unread  int
	held    int
	written int
}

// queueBeyondSlots is the number of requests that wait at a replica at most.
const queueBeyondSlots = 4

// NewPasses returns an idle replica.
func NewPasses(profile *api.EngineProfile, pace float64) *Passes {
	if pace <= 0 {
		pace = 1
	}
	return &Passes{profile: profile, pace: pace}
}

// Add takes a request. It reports false for one that finds the queue full, or that
// memory can never hold.
func (p *Passes) Add(w Work) bool {
	if p.profile.MemoryTokens > 0 && w.Prompt+w.Answer > p.profile.MemoryTokens {
		return false
	}
	if p.profile.Slots > 0 && len(p.running)+len(p.waiting) >= p.profile.Slots+queueBeyondSlots {
		return false
	}
	p.waiting = append(p.waiting, &passWork{Work: w, unread: w.Prompt})
	return true
}

// Remove drops a request.
func (p *Passes) Remove(id string) {
	dropped := func(w *passWork) bool { return w.ID == id }
	p.running = slices.DeleteFunc(p.running, dropped)
	p.waiting = slices.DeleteFunc(p.waiting, dropped)
}

// Stall stops the work for good, as the loss of a member does.
func (p *Passes) Stall() { p.stalled = true }

// Held is the number of tokens in memory.
func (p *Passes) Held() int {
	n := 0
	for _, w := range p.running {
		n += w.held
	}
	return n
}

// Advance ends every pass that is over by now, begins the next one and returns what was
// done.
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

// admit lets waiting requests run while slots and memory allow.
func (p *Passes) admit() {
	for len(p.waiting) > 0 && (p.profile.Slots == 0 || len(p.running) < p.profile.Slots) {
		next := p.waiting[0]
		if p.isFull(next.unread) {
			return
		}
		p.waiting = p.waiting[1:]
		p.running = append(p.running, next)
	}
}

// isFull reports whether memory has no room for more tokens, promised ones included.
func (p *Passes) isFull(more int) bool {
	if p.profile.MemoryTokens == 0 || len(p.running) == 0 {
		return false
	}
	for _, w := range p.running {
		more += w.held + w.unread
	}
	return more > p.profile.MemoryTokens
}

// reader returns the request whose prompt the pass reads, and the piece.
func (p *Passes) reader() (*passWork, int) {
	for _, w := range p.running {
		if w.unread > 0 {
			piece := w.unread
			if p.profile.Chunk > 0 {
				piece = min(piece, p.profile.Chunk)
			}
			return w, piece
		}
	}
	return nil, 0
}

// duration is the length of the pass that the running requests call for.
func (p *Passes) duration() time.Duration {
	ms := 0.0
	if w, piece := p.reader(); w != nil && p.profile.PrefillRate > 0 {
		pairs := float64(piece) * (float64(w.held) + float64(piece)/2)
		ms += float64(piece)/p.profile.PrefillRate*1000 + p.profile.PairMillis*pairs/1e6
	}
	writers, context := 0, 0
	for _, w := range p.running {
		if w.unread == 0 {
			writers++
			context += w.held
		}
	}
	if writers > 0 {
		step := p.profile.StepMillis + float64(writers)*p.profile.SequenceMillis + float64(context)/1000*p.profile.ContextMillis
		ms += float64(max(1, p.profile.Stride)) * step
	}
	return time.Duration(ms * p.pace * float64(time.Millisecond))
}

// finish carries out the pass in progress.
func (p *Passes) finish() []Output {
	reader, piece := p.reader()
	var out []Output
	for _, w := range p.running {
		if w.unread > 0 {
			continue
		}
		out = append(out, w.write(max(1, p.profile.Stride)))
	}
	if reader != nil {
		reader.unread -= piece
		reader.held += piece
		if reader.unread == 0 {
			out = append(out, reader.write(1))
		}
	}
	p.running = slices.DeleteFunc(p.running, func(w *passWork) bool { return w.unread == 0 && w.written >= w.Answer })
	return append(out, p.preempt()...)
}

// write adds up to n tokens to the answer.
func (w *passWork) write(n int) Output {
	n = min(n, w.Answer-w.written)
	w.written += n
	w.held += n
	return Output{ID: w.ID, Tokens: n, Done: w.written >= w.Answer}
}

// preempt puts the newest requests back until the memory holds the others.
func (p *Passes) preempt() []Output {
	var out []Output
	for p.profile.MemoryTokens > 0 && p.Held() > p.profile.MemoryTokens && len(p.running) > 1 {
		newest := p.running[len(p.running)-1]
		p.running = p.running[:len(p.running)-1]
		newest.unread, newest.held = newest.Prompt+newest.written, 0
		p.waiting = slices.Insert(p.waiting, 0, newest)
		out = append(out, Output{ID: newest.ID, Preempted: true})
	}
	return out
}
