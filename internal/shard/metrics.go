package shard

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/crocusway/crocusway/internal/api"
)

// metrics are the instruments of the owner side.
type metrics struct {
	grants      metric.Int64Counter
	refusals    metric.Int64Counter
	revocations metric.Int64Counter
	lapsed      metric.Int64Counter
	wait        metric.Float64Histogram
}

// newMetrics creates the instruments; a nil meter measures nothing.
func newMetrics(meter metric.Meter) (metrics, error) {
	if meter == nil {
		meter = noop.NewMeterProvider().Meter("")
	}
	var m metrics
	var failed error
	note := func(err error) { failed = errors.CombineErrors(failed, err) }
	var err error
	m.grants, err = meter.Int64Counter("crocusway_grants", metric.WithDescription("Grants made by this owner."))
	note(err)
	m.refusals, err = meter.Int64Counter("crocusway_grant_refusals", metric.WithDescription("Grants refused by this owner, by code."))
	note(err)
	m.revocations, err = meter.Int64Counter("crocusway_grant_revocations", metric.WithDescription("Grants that were asked back for a claimed share."))
	note(err)
	m.lapsed, err = meter.Int64Counter("crocusway_grants_lapsed", metric.WithDescription("Grants that ran out without a settlement."))
	note(err)
	m.wait, err = meter.Float64Histogram("crocusway_grant_wait", metric.WithUnit("s"), metric.WithDescription("Time from the receipt of a request to its grant."))
	note(err)
	return m, failed
}

// groupLabel returns the attributes of a shard's instruments.
func groupLabel(id api.ShardID) metric.MeasurementOption {
	return metric.WithAttributeSet(attribute.NewSet(attribute.String("serving_group", string(id.ServingGroup))))
}

// decided counts one decision.
func (m *metrics) decided(o *owned, d Decision, waited time.Duration) {
	ctx := context.Background()
	if d.Err != nil {
		m.refusals.Add(ctx, 1, o.label, metric.WithAttributes(attribute.String("code", string(d.Err.Code))))
		return
	}
	m.grants.Add(ctx, 1, o.label)
	m.wait.Record(ctx, waited.Seconds(), o.label)
}
