package bench

import (
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// FleetHost is a stand-in for one backend server as the group planner sees it:
// it executes orders, loads and announces itself. It has one membership at a
// time.
type FleetHost struct {
	ID     api.HostID
	Fabric api.FabricDomain
	Domain api.FailureDomain
	// ChecksFencing makes the host refuse orders with a fencing number below
	// the highest it accepted, and orders for another incarnation. The highest
	// number survives restarts.
	ChecksFencing bool
	Up            bool
	Paused        bool
	Leaving       bool

	Incarnation    api.Incarnation
	Group          api.GroupID
	Fencing        api.Fencing
	Rank           int
	Members        []api.HostID
	highestFencing api.Fencing
	readyAt        time.Time
	warmAt         time.Time
	sequence       uint64
	// extraLoad is added to the duration of each load.
	extraLoad time.Duration
	// waiting holds the orders that arrived during a pause.
	waiting []api.Order

	announced   api.Announcement
	announcedAt time.Time
}

// FleetTimes are the durations of a stand-in host.
type FleetTimes struct {
	// Load is the time from an assign order until the weights are loaded.
	Load time.Duration
	// Cold is the time after a load during which the host is not warm.
	Cold time.Duration
	// Announce is the time between two announcements.
	Announce time.Duration
}

// handle executes one order, and reports whether it began a load.
func (h *FleetHost) handle(o api.Order, t FleetTimes, now time.Time) (api.OrderResult, bool) {
	res := api.OrderResult{Host: h.ID, Incarnation: h.Incarnation, Fencing: h.highestFencing}
	if h.ChecksFencing && o.Fencing < h.highestFencing {
		res.Reason = "old fencing number"
		return res, false
	}
	if h.ChecksFencing && o.Incarnation != 0 && o.Incarnation != h.Incarnation {
		res.Reason = "order for another incarnation"
		return res, false
	}
	h.highestFencing = max(h.highestFencing, o.Fencing)
	res.Accepted, res.Fencing = true, h.highestFencing
	if o.Kind == api.OrderRelease {
		if h.ChecksFencing || h.Group == o.Group {
			h.drop()
		}
		return res, false
	}
	if h.Group == o.Group && h.Fencing == o.Fencing {
		return res, false
	}
	h.Group, h.Fencing, h.Rank, h.Members = o.Group, o.Fencing, o.Rank, o.Members
	h.readyAt = now.Add(t.Load + h.extraLoad)
	h.warmAt = h.readyAt.Add(t.Cold)
	return res, true
}

func (h *FleetHost) drop() {
	h.Group, h.Fencing, h.Rank, h.Members = "", 0, 0, nil
}

// restart ends the membership and begins a new incarnation.
func (h *FleetHost) restart() {
	h.drop()
	h.Incarnation++
	h.sequence = 0
	h.Paused = false
	h.waiting = nil
}

// Serves reports whether the host is running and has loaded its group's
// weights, whether or not its membership is current.
func (h *FleetHost) Serves(now time.Time) bool {
	return h.Up && !h.Paused && h.Group != "" && !now.Before(h.readyAt)
}

// announce records the host's current state as its announcement.
func (h *FleetHost) announce(now time.Time) {
	h.sequence++
	load := api.LoadIdle
	if h.Group != "" {
		load = api.LoadLoading
		if !now.Before(h.readyAt) {
			load = api.LoadReady
		}
	}
	h.announced = api.Announcement{
		Version:       api.AnnouncementVersion,
		Host:          h.ID,
		Incarnation:   h.Incarnation,
		Sequence:      h.sequence,
		Address:       string(h.ID),
		Kind:          api.BackendEngine,
		Fabric:        h.Fabric,
		Domain:        h.Domain,
		Accelerators:  1,
		Group:         h.Group,
		Fencing:       h.Fencing,
		Rank:          h.Rank,
		Load:          load,
		Warm:          load == api.LoadReady && !now.Before(h.warmAt),
		BearableLoad:  1,
		WarmLoad:      1,
		ChecksFencing: h.ChecksFencing,
		Leaving:       h.Leaving,
	}
	h.announcedAt = now
}
