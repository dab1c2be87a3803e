package bench

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/clock"
)

// errNoAnswer is the outcome of an order to a host that does not answer.
var errNoAnswer = errors.New("no answer from the host")

// FleetModel is a stand-in for the backend servers at the interface of the
// group planner, on a logical clock. It is not safe for concurrent use.
type FleetModel struct {
	Clock *clock.Manual
	Store *FleetStore
	Times FleetTimes
	// DetectionBound is the age of an announcement above which a host is dead.
	DetectionBound time.Duration
	Hosts          []*FleetHost
	// Loads counts the loads that hosts began.
	Loads int
	// OnLoad, when set, is called when a host begins a load.
	OnLoad func(h *FleetHost, o api.Order)
	byID   map[api.HostID]*FleetHost
	queue  []func()
}

// NewFleetModel returns a fleet without hosts.
func NewFleetModel(store *FleetStore, t FleetTimes, detection time.Duration) *FleetModel {
	return &FleetModel{
		Clock:          clock.NewManual(time.Unix(1_000_000, 0)),
		Store:          store,
		Times:          t,
		DetectionBound: detection,
		byID:           make(map[api.HostID]*FleetHost),
	}
}

// Add brings up a new host, which announces itself at once.
func (m *FleetModel) Add(h *FleetHost) {
	h.Up, h.Incarnation = true, 1
	m.Hosts = append(m.Hosts, h)
	m.byID[h.ID] = h
	h.announce(m.Clock.Now())
}

// Host returns a host, or nil.
func (m *FleetModel) Host(id api.HostID) *FleetHost { return m.byID[id] }

// Go queues a function for RunQueue, in place of starting a goroutine.
func (m *FleetModel) Go(f func()) { m.queue = append(m.queue, f) }

// RunQueue runs the queued functions.
func (m *FleetModel) RunQueue() {
	for _, f := range m.TakeQueue() {
		f()
	}
}

// TakeQueue returns the queued functions and empties the queue.
func (m *FleetModel) TakeQueue() []func() {
	queue := m.queue
	m.queue = nil
	return queue
}

// Send implements backend.OrderSender.
func (m *FleetModel) Send(_ context.Context, address string, o api.Order) (api.OrderResult, error) {
	h := m.byID[api.HostID(address)]
	if h == nil || !h.Up {
		return api.OrderResult{}, errNoAnswer
	}
	if h.Paused {
		h.waiting = append(h.waiting, o)
		return api.OrderResult{}, errNoAnswer
	}
	return m.Deliver(h, o), nil
}

// Deliver passes an order to a host, even if its sender no longer waits for the
// result.
func (m *FleetModel) Deliver(h *FleetHost, o api.Order) api.OrderResult {
	res, loads := h.handle(o, m.Times, m.Clock.Now())
	if loads {
		m.Loads++
		if m.OnLoad != nil {
			m.OnLoad(h, o)
		}
	}
	return res
}

// Kill stops a host; its membership is lost.
func (m *FleetModel) Kill(h *FleetHost) {
	h.Up = false
	h.restart()
}

// Start brings a host back under a new incarnation.
func (m *FleetModel) Start(h *FleetHost) {
	if h.Up {
		h.restart()
	}
	h.Up = true
	h.announce(m.Clock.Now())
}

// Pause freezes a host; its membership stays.
func (m *FleetModel) Pause(h *FleetHost) { h.Paused = h.Up }

// Resume ends a pause. The host first executes the orders that arrived during
// it.
func (m *FleetModel) Resume(h *FleetHost) {
	if !h.Up || !h.Paused {
		return
	}
	h.Paused = false
	waiting := h.waiting
	h.waiting = nil
	for _, o := range waiting {
		m.Deliver(h, o)
	}
	h.announce(m.Clock.Now())
}

// Advance moves the clock; running hosts whose announcement interval has passed
// announce themselves.
func (m *FleetModel) Advance(d time.Duration) {
	m.Clock.Advance(d)
	now := m.Clock.Now()
	for _, h := range m.Hosts {
		if h.Up && !h.Paused && now.Sub(h.announcedAt) >= m.Times.Announce {
			h.announce(now)
		}
	}
}

// Alive reports whether control counts a host as alive.
func (m *FleetModel) Alive(h *FleetHost) bool {
	return m.Clock.Now().Sub(h.announcedAt) <= m.DetectionBound
}

// View returns the fleet as the leader sees it.
func (m *FleetModel) View() api.FleetView {
	v := api.FleetView{
		Revision:      m.Store.Revision,
		ServingGroups: m.Store.ServingGroups,
		Domains:       m.Store.Domains,
		Weights:       m.Store.Weights,
		Groups:        m.Store.Groups(),
		Assignments:   m.Store.Assignments(),
		Hosts:         make([]api.HostStatus, 0, len(m.Hosts)),
	}
	now := m.Clock.Now()
	for _, h := range m.Hosts {
		if h.announcedAt.IsZero() {
			continue
		}
		v.Hosts = append(v.Hosts, api.HostStatus{
			Announcement: h.announced,
			AgeMillis:    now.Sub(h.announcedAt).Milliseconds(),
			Alive:        m.Alive(h),
		})
	}
	return v
}

// TurnCold makes a loaded host cold for d, without a reload.
func (m *FleetModel) TurnCold(h *FleetHost, d time.Duration) { h.warmAt = m.Clock.Now().Add(d) }

// Slow adds extra to the duration of each load of a host.
func (m *FleetModel) Slow(h *FleetHost, extra time.Duration) { h.extraLoad = extra }
