package standin

import "github.com/crocusway/crocusway/internal/api"

// serviceLoad counts the calls on a server of a plain service. The lock of its
// host guards it.
type serviceLoad struct {
	warm      bool
	running   int
	completed int
}

// bearable is the number of concurrent calls borne now, 0 without a limit.
func (s Service) bearable(warm bool) int {
	if warm {
		return s.WarmLoad
	}
	return s.ColdLoad
}

// beginCall takes a call in and returns how many run and how many are borne. A
// server without limits bears any number.
func (h *Host) beginCall() (running, borne int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls.running++
	return h.calls.running, h.service.bearable(h.calls.warm)
}

// endCall counts a call out that the same incarnation took in.
func (h *Host) endCall(incarnation api.Incarnation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.incarnation != incarnation {
		return
	}
	h.calls.running--
	h.calls.completed++
	if h.calls.completed >= h.service.WarmAfter {
		h.calls.warm = true
	}
}

// describeService adds what only plain services announce. The lock is held.
func (h *Host) describeService(m *api.Announcement) {
	if h.service.ColdLoad == 0 {
		return
	}
	m.Warm = h.calls.warm
	m.BearableLoad = h.service.bearable(h.calls.warm)
	m.WarmLoad = h.service.WarmLoad
	m.Running = h.calls.running
}
