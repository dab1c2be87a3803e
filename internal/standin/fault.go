package standin

import (
	"math"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// FaultKind is a way in which a host violates the backend interface.
type FaultKind int

// Kinds of faults.
const (
	// FaultLate delays the response by Delay.
	FaultLate FaultKind = iota + 1
	// FaultSwapAnswer sends the response, with its id, of the request that reached
	// the host before this one, or of an unknown request if there was none.
	FaultSwapAnswer
	// FaultSwapEvent replaces event After+1 by one of another request.
	FaultSwapEvent
	// FaultTruncate closes the connection after After tokens, or in the middle of
	// a response that is not streamed.
	FaultTruncate
	// FaultRepeat sends event After twice.
	FaultRepeat
	// FaultNoEnd ends a stream after After tokens without the terminator.
	FaultNoEnd
)

// Fault is a fault to apply to the next Count requests of a host.
type Fault struct {
	Kind  FaultKind
	Count int
	After int
	Delay time.Duration
}

// Inject queues a fault behind those that are already queued for the host.
func (h *Host) Inject(f Fault) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults = append(h.faults, f)
}

// nextFault returns the fault of one request and counts it off; the kind is 0 if
// there is none.
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

// AnswerLate delays the responses to the next count requests by d. The
// delay starts after the request is admitted.
func (h *Host) AnswerLate(count int, d time.Duration) {
	h.Inject(Fault{Kind: FaultLate, Count: count, Delay: d})
}

// SwapAnswers sends each of the next count requests the response, with its id,
// of the request that reached the host before it.
func (h *Host) SwapAnswers(count int) {
	h.Inject(Fault{Kind: FaultSwapAnswer, Count: count})
}

// Slow makes the host a straggler: its processing times and those of its replica
// are multiplied by factor. A factor of at most 1 restores normal speed.
func (h *Host) Slow(factor float64) {
	h.slowdown.Store(math.Float64bits(factor))
}

// slowFactor returns the slowdown factor, 1 for a host at normal speed.
func (h *Host) slowFactor() float64 {
	return max(math.Float64frombits(h.slowdown.Load()), 1)
}

// slowed multiplies the duration of a plain service call by the slowdown factor.
func (h *Host) slowed(d time.Duration) time.Duration {
	return time.Duration(h.slowFactor() * float64(d))
}

// Pause freezes the host: connections stay open, but it processes and announces
// nothing. A replica makes no progress while one of its members is paused.
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

// Leave announces immediately that the host is leaving. The host continues to
// accept and process requests.
func (h *Host) Leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leavingAt.IsZero() {
		h.leavingAt = h.fleet.cfg.Clock.Now()
		h.due = h.leavingAt
	}
}

// Stay reverts Leave.
func (h *Host) Stay() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leavingAt = time.Time{}
	h.due = h.fleet.cfg.Clock.Now()
}

// TurnCold puts the engine back into a cold start. The next announcement
// reports it.
func (h *Host) TurnCold() { h.TurnColdUnannounced(0) }

// TurnColdUnannounced puts the engine back into a cold start that announcements
// conceal for d: they continue to report a warm replica and its capacity.
func (h *Host) TurnColdUnannounced(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.engine.restartCold()
	h.claimsWarmUntil = h.fleet.cfg.Clock.Now().Add(d)
}

// swapPrevious records a request and returns the one that arrived before it, or
// a made-up id if there was none or it has the same id.
func (h *Host) swapPrevious(id api.RequestID) api.RequestID {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.swapPreviousLocked(id)
}

// swapPreviousLocked is swapPrevious for a caller that holds h.mu.
func (h *Host) swapPreviousLocked(id api.RequestID) api.RequestID {
	previous := h.previous
	h.previous = id
	if previous == "" || previous == id {
		return "swapped-" + id
	}
	return previous
}
