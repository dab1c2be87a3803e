package group

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/crocusway/crocusway/internal/api"
)

// HeldHost is a host that joins no other replica, as it may still be a member of one whose head may
// serve.
type HeldHost struct {
	Host  api.HostID
	Group api.GroupID
	Why   HeldReason
}

// HeldReason is what the leader waits for.
type HeldReason string

// Reasons for which a host is held.
const (
	// HeldSilent is a host without a recent announcement.
	HeldSilent HeldReason = "silent"
	// HeldLeave is a host that has not acknowledged to have left.
	HeldLeave HeldReason = "leave"
	// HeldJoin is a host that has left, and may be brought back by an order that was not answered.
	HeldJoin HeldReason = "join"
)

var heldReasons = []HeldReason{HeldSilent, HeldLeave, HeldJoin}

// describeHeld lists the held hosts by name.
func (pl *planner) describeHeld() []HeldHost {
	var out []HeldHost
	for id, replicas := range pl.held {
		for _, r := range replicas {
			out = append(out, HeldHost{Host: id, Group: r.ID, Why: pl.heldReason(r, pl.mem.hosts[id])})
		}
	}
	slices.SortFunc(out, func(a, b HeldHost) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Group, b.Group))
	})
	return out
}

func (pl *planner) heldReason(r *replica, h *host) HeldReason {
	switch {
	case h.status == nil || h.stale || !isAlive(h.status, pl.policy):
		return HeldSilent
	case !pl.isAway(r, h):
		return HeldLeave
	}
	return HeldJoin
}

// heldHosts logs and counts the held hosts. count is safe for concurrent use.
type heldHosts struct {
	text  string
	at    time.Time
	count [3]atomic.Int64
}

// maxHeldLogged bounds the hosts that one log line names.
const maxHeldLogged = 12

// reportHeld records the held hosts of the newest plan, and logs them when they have changed.
func (r *Reconciler) reportHeld(held []HeldHost, now time.Time) {
	var count [3]int64
	var b strings.Builder
	for i, h := range held {
		count[slices.Index(heldReasons, h.Why)]++
		if i < maxHeldLogged {
			fmt.Fprintf(&b, "%s:%s:%s ", h.Host, h.Group, h.Why)
		}
	}
	for i := range count {
		r.held.count[i].Store(count[i])
	}
	text := b.String()
	if text == r.held.text || now.Sub(r.held.at) < idleLogInterval {
		return
	}
	r.held.text, r.held.at = text, now
	level.Info(r.logger).Log("msg", "Held hosts.", "count", len(held), "hosts", text)
}

// observeHeld registers the gauge of the held hosts.
func (r *Reconciler) observeHeld(meter metric.Meter) error {
	_, err := meter.Int64ObservableGauge("crocusway.hosts.held",
		metric.WithDescription("Hosts that may still be members of a released replica (why: silent, leave, join)."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			for i, why := range heldReasons {
				o.Observe(r.held.count[i].Load(), metric.WithAttributes(attribute.String("why", string(why))))
			}
			return nil
		}))
	return err
}
