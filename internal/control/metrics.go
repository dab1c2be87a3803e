package control

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/logging"
)

// metrics are the instruments of the control role.
type metrics struct {
	commands   metric.Int64Counter
	downtime   metric.Float64Counter
	stranded   metric.Float64Counter
	notServing metric.Float64Counter
}

func newMetrics(meter metric.Meter, s *Service) *metrics {
	m := &metrics{}
	var err error
	check := func(next error) {
		if err == nil {
			err = next
		}
	}
	var next error
	m.commands, next = meter.Int64Counter("crocusway.control.commands",
		metric.WithDescription("Commands committed by this leader."))
	check(next)
	m.downtime, next = meter.Float64Counter("crocusway.group.downtime",
		metric.WithUnit("s"), metric.WithDescription("Replica-seconds in which a wanted replica could not serve."))
	check(next)
	m.stranded, next = meter.Float64Counter("crocusway.hosts.stranded",
		metric.WithUnit("s"), metric.WithDescription("Host-seconds in which a host was idle because its group was incomplete."))
	check(next)
	m.notServing, next = meter.Float64Counter("crocusway.hosts.not_serving",
		metric.WithUnit("s"), metric.WithDescription("Host-seconds in which replicas were missing and a host beyond the spares did not serve."))
	check(next)
	check(observeState(meter, s))
	if err != nil {
		logging.For(s.cfg.Logger, "control").Log("msg", "Metric registration failed", "err", err)
	}
	return m
}

// gauge is one value that is read from the service on collection.
type gauge struct {
	name, description string
	read              func() int64
}

func (s *Service) gauges() []gauge {
	return []gauge{
		{"crocusway.control.revision", "Newest accepted revision.", func() int64 { return int64(s.state.Revision()) }},
		{"crocusway.control.leading", "1 on the leader, else 0.", func() int64 { return boolInt(s.Leading()) }},
		{"crocusway.control.records", "Stored idempotency records.", func() int64 {
			records, _, _ := s.state.records.usage()
			return int64(records)
		}},
		{"crocusway.control.record.bytes", "Size of the idempotency records, in bytes.", func() int64 {
			_, _, size := s.state.records.usage()
			return size
		}},
		{"crocusway.control.entries", "Entries that may hold a work lease.", func() int64 {
			return int64(s.state.entries.count(func(row entryRow) bool { return row.Info.Live }))
		}},
		{"crocusway.control.groups.ready", "Groups that serve.", func() int64 {
			return int64(s.state.groups.count(func(g api.Group) bool { return g.Phase == api.GroupReady }))
		}},
		{"crocusway.control.quarantines", "Suspected and quarantined requests.", func() int64 {
			return int64(s.state.quarantines.size())
		}},
	}
}

// observeState registers the gauges that are read from the state.
func observeState(meter metric.Meter, s *Service) error {
	for _, g := range s.gauges() {
		observe := func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(g.read())
			return nil
		}
		_, err := meter.Int64ObservableGauge(g.name, metric.WithDescription(g.description), metric.WithInt64Callback(observe))
		if err != nil {
			return err
		}
	}
	return nil
}

func boolInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

func (m *metrics) command(ctx context.Context, kind commandKind) {
	m.commands.Add(ctx, 1, metric.WithAttributes(attribute.Int("kind", int(kind))))
}
