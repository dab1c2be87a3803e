package standin

import "time"

// FaultKind names a way in which a host breaks the contract.
type FaultKind int

// Kinds of faults.
const (
	// FaultLate delays the answer by Delay.
	FaultLate FaultKind = iota + 1
	// FaultSwapAnswer answers with the id of another request.
	FaultSwapAnswer
	// FaultSwapEvent puts the id of another request on event After+1.
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
