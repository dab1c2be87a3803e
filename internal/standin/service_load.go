package standin

import "github.com/crocusway/crocusway/internal/api"

// serviceLoad counts the calls on a backend server of a plain service. It is
// guarded by the mutex of its host.
type serviceLoad struct {
	warm      bool
	running   int
	completed int
}

// capacity returns the number of calls that a backend server can run concurrently,
// 0 if unlimited.
func (s Service) capacity(warm bool) int {
	if warm {
		return s.WarmLoad
	}
	return s.ColdLoad
}

// beginCall counts a new call and returns the number of running calls and the
// capacity, 0 if unlimited.
func (h *Host) beginCall() (running, capacity int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls.running++
	return h.calls.running, h.service.capacity(h.calls.warm)
}

// endCall counts the end of a call unless the host has restarted since it began.
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

// describeService adds the fields that only plain services announce. The caller
// holds h.mu.
func (h *Host) describeService(m *api.Announcement) {
	if h.service.ColdLoad == 0 {
		return
	}
	m.Warm = h.calls.warm
	m.BearableLoad = h.service.capacity(h.calls.warm)
	m.WarmLoad = h.service.WarmLoad
	m.Running = h.calls.running
}
