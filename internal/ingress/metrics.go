package ingress

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/crocusway/crocusway/internal/telemetry"
)

// instruments are the counters and histograms of the request path.
type instruments struct {
	requests metric.Int64Counter
	attempts metric.Int64Counter
	resumed  metric.Int64Counter
	links    metric.Int64Counter
	notices  metric.Int64Counter
	takeover metric.Int64Counter
	queued   metric.Float64Histogram
	first    metric.Float64Histogram
	total    metric.Float64Histogram
}

func newInstruments(meter metric.Meter) (instruments, error) {
	b := telemetry.NewInstruments(meter)
	return instruments{
		requests: b.Counter("crocusway_ingress_requests_total", "requests by route, outcome and reason"),
		attempts: b.Counter("crocusway_ingress_attempts_total", "requests sent to backend servers, by outcome"),
		resumed:  b.Counter("crocusway_ingress_resumed_total", "streams resumed at another replica"),
		links:    b.Counter("crocusway_ingress_links_total", "losses and returns of the links to all servers"),
		notices:  b.Counter("crocusway_ingress_notices_total", "answers of servers that leave or ask for a pause"),
		takeover: b.Counter("crocusway_ingress_takeovers_total", "attempts at another server while the first was silent, by outcome"),
		queued:   b.Seconds("crocusway_ingress_queued_seconds", "wait for a placement on a backend server"),
		first:    b.Seconds("crocusway_ingress_first_byte_seconds", "time to the first byte of the answer"),
		total:    b.Seconds("crocusway_ingress_seconds", "time to the end of the answer"),
	}, b.Err()
}

func (m *instruments) recordEnd(c *call, now time.Time) {
	route := ""
	if c.route != nil {
		route = c.route.Name
	}
	ctx := context.Background()
	m.requests.Add(ctx, 1, metric.WithAttributes(
		attribute.String("route", route), attribute.String("outcome", c.outcome), attribute.String("reason", c.reason)))
	by := metric.WithAttributes(attribute.String("route", route))
	m.total.Record(ctx, now.Sub(c.received).Seconds(), by)
	if c.firstByte > 0 {
		m.first.Record(ctx, c.firstByte.Seconds(), by)
	}
	if c.place != nil || c.queued > 0 {
		m.queued.Record(ctx, c.queued.Seconds(), by)
	}
	if c.resumed > 0 {
		m.resumed.Add(ctx, int64(c.resumed), by)
	}
}

// recordLinks counts a change of the links to the servers of a service, or to all of them.
func (m *instruments) recordLinks(state, service string) {
	m.links.Add(context.Background(), 1, metric.WithAttributes(attribute.String("state", state), attribute.String("service", service)))
}

func (m *instruments) recordNotice(kind string) {
	m.notices.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", kind)))
}

func (m *instruments) recordTakeover(outcome string) {
	m.takeover.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}

func (m *instruments) recordAttempt(outcome string) {
	m.attempts.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}
