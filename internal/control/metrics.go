package control

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/crocusway/crocusway/internal/logging"
)

// metrics are the instruments of the control role.
type metrics struct {
	commands metric.Int64Counter
	downtime metric.Float64Counter
	stranded metric.Float64Counter
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
		metric.WithUnit("s"), metric.WithDescription("Replica-seconds in which a wanted replica was not ready."))
	check(next)
	m.stranded, next = meter.Float64Counter("crocusway.hosts.stranded",
		metric.WithUnit("s"), metric.WithDescription("Host-seconds in which an accelerator host was stranded."))
	check(next)
	check(observeState(meter, s))
	if err != nil {
		logging.For(s.cfg.Logger, "control").Log("msg", "Metric not available", "err", err)
	}
	return m
}

// observeState registers the gauges that are read from the state.
func observeState(meter metric.Meter, s *Service) error {
	revision, err := meter.Int64ObservableGauge("crocusway.control.revision",
		metric.WithDescription("Newest accepted revision."))
	if err != nil {
		return err
	}
	records, err := meter.Int64ObservableGauge("crocusway.control.records",
		metric.WithDescription("Stored idempotency records."))
	if err != nil {
		return err
	}
	leading, err := meter.Int64ObservableGauge("crocusway.control.leading",
		metric.WithDescription("1 on the leader, else 0."))
	if err != nil {
		return err
	}
	observe := func(_ context.Context, o metric.Observer) error {
		stored, _, _ := s.state.records.usage()
		o.ObserveInt64(revision, int64(s.state.Revision()))
		o.ObserveInt64(records, int64(stored))
		o.ObserveInt64(leading, boolInt(s.leading.Load() != nil))
		return nil
	}
	_, err = meter.RegisterCallback(observe, revision, records, leading)
	return err
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
