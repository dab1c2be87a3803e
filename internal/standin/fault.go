package standin

import (
	"math"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// FaultKind names a way in which a host breaks the contract.
type FaultKind int

// Kinds of faults.
const (
	// FaultLate delays the answer by Delay.
	FaultLate FaultKind = iota + 1
	// FaultSwapAnswer gives the answer, with its id, of the request that reached
	// the host before this one; of an unknown request if there was none.
	FaultSwapAnswer
	// FaultSwapEvent puts the event of another request in place of event After+1.
	FaultSwapEvent
	// FaultTruncate cuts the connection after After tokens, or in the middle of
	// an answer that is not a stream.
	FaultTruncate
	// FaultRepeat sends event After twice.
	FaultRepeat
	// FaultNoEnd ends a stream after After tokens without its terminator.
	FaultNoEnd
)

// Fault is a fault of the next Count requests of a host.
type Fault struct {
	Kind  FaultKind
	Count int
	After int
	Delay time.Duration
}

// Inject makes the next requests of the host fail in a given way.
func (h *Host) Inject(f Fault) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults = append(h.faults, f)
}

// nextFault takes the fault of one request; its kind is 0 without one.
func (h *Host) nextFault() Fault {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.faults) == 0 {
		return Fault{}
	}
	f := h.faults[0]
	h.faults[0].Count--
	if h.faults[0].Count <= 0 {
		h.faults = h.faults[1:]
	}
	return f
}

// AnswerLate delays the answers of the next count requests by d. The engine
// takes them in at once.
func (h *Host) AnswerLate(count int, d time.Duration) {
	h.Inject(Fault{Kind: FaultLate, Count: count, Delay: d})
}

// SwapAnswers gives each of the next count requests the answer, with its id,
// of the request that reached the host before it.
func (h *Host) SwapAnswers(count int) {
	h.Inject(Fault{Kind: FaultSwapAnswer, Count: count})
}

// Slow makes the host a straggler: it takes factor times as long, and so does
// the replica that it belongs to. A factor of at most 1 ends it.
func (h *Host) Slow(factor float64) {
	h.slowdown.Store(math.Float64bits(factor))
}

// slowFactor returns the factor of a straggler, 1 for any other host.
func (h *Host) slowFactor() float64 {
	return max(math.Float64frombits(h.slowdown.Load()), 1)
}

// slowed scales the time of a plain service.
func (h *Host) slowed(d time.Duration) time.Duration {
	return time.Duration(h.slowFactor() * float64(d))
}

// Pause freezes the host: connections stay open, nothing moves, nothing is
// announced. A replica stands still while one of its members is paused.
func (h *Host) Pause() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.paused.Load() {
		return
	}
	h.resumed = make(chan struct{})
	h.paused.Store(true)
}

// Resume ends a pause.
func (h *Host) Resume() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.paused.Load() {
		return
	}
	h.paused.Store(false)
	close(h.resumed)
}

// Leave announces at once that the host is leaving. It finishes what runs and
// goes on to answer.
func (h *Host) Leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leavingAt.IsZero() {
		h.leavingAt = h.fleet.cfg.Clock.Now()
		h.due = h.leavingAt
	}
}

// Stay takes back Leave.
func (h *Host) Stay() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leavingAt = time.Time{}
	h.due = h.fleet.cfg.Clock.Now()
}

// TurnCold begins a cold start without a warning. The next announcement says
// so.
func (h *Host) TurnCold() { h.TurnColdUnannounced(0) }

// TurnColdUnannounced begins a cold start that announcements conceal for d:
// they go on to claim a warm replica and its load.
func (h *Host) TurnColdUnannounced(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.engine.turnCold()
	h.claimsWarmUntil = h.fleet.cfg.Clock.Now().Add(d)
}

// arrived notes a request and returns the one that arrived before it.
func (h *Host) arrived(id api.RequestID) api.RequestID {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.takePrevious(id)
}

// takePrevious is arrived with the lock held.
func (h *Host) takePrevious(id api.RequestID) api.RequestID {
	previous := h.previous
	h.previous = id
	if previous == "" || previous == id {
		return "swapped-" + id
	}
	return previous
}
