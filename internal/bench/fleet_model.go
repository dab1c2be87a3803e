package bench

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/clock"
)

// errSilent is the outcome of an order to a host that does not answer.
var errSilent = errors.New("no answer from the host")

// FleetModel is a stand-in of the backend servers at the interface of the group
// planner, on a logical clock. It is not safe for concurrent use.
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

// Go queues a function until RunQueue; it stands for starting a goroutine.
func (m *FleetModel) Go(f func()) { m.queue = append(m.queue, f) }

// RunQueue runs what was queued.
func (m *FleetModel) RunQueue() {
	for _, f := range m.TakeQueue() {
		f()
	}
}

// TakeQueue returns what was queued and forgets it.
func (m *FleetModel) TakeQueue() []func() {
	queue := m.queue
	m.queue = nil
	return queue
}

// Send implements backend.OrderSender.
func (m *FleetModel) Send(_ context.Context, address string, o api.Order) (api.OrderResult, error) {
	h := m.byID[api.HostID(address)]
	if h == nil || !h.Up {
		return api.OrderResult{}, errSilent
	}
	if h.Paused {
		h.waiting = append(h.waiting, o)
		return api.OrderResult{}, errSilent
	}
	return m.Deliver(h, o), nil
}

// Deliver hands an order to a host, whatever its sender waits for.
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

// Resume wakes a host, which first executes the orders that waited.
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

// Advance moves the clock and lets hosts announce themselves when it is time.
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

// View returns what the leader sees.
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

// Chill makes a loaded host cold again for a while, without a reload.
func (m *FleetModel) Chill(h *FleetHost, d time.Duration) { h.warmAt = m.Clock.Now().Add(d) }

// Slow makes the loads of a host take longer than those of others.
func (m *FleetModel) Slow(h *FleetHost, extra time.Duration) { h.extraLoad = extra }
