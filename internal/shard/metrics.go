package shard

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/telemetry"
)

// metrics are the instruments of the owner side.
type metrics struct {
	grants      metric.Int64Counter
	refusals    metric.Int64Counter
	revocations metric.Int64Counter
	expired     metric.Int64Counter
	wait        metric.Float64Histogram
}

// newMetrics creates the instruments; a nil meter disables them.
func newMetrics(meter metric.Meter) (metrics, error) {
	in := telemetry.NewInstruments(meter)
	m := metrics{
		grants:      in.Counter("crocusway_grants", "Grants issued by this owner."),
		refusals:    in.Counter("crocusway_grant_refusals", "Requests for a grant refused by this owner, by code."),
		revocations: in.Counter("crocusway_grant_revocations", "Grants revoked for a claimed share, including repeats."),
		expired:     in.Counter("crocusway_grants_lapsed", "Grants that expired without a settlement, including repeats."),
		wait:        in.Seconds("crocusway_grant_wait", "Time from the receipt of a request to its grant."),
	}
	return m, in.Err()
}

// shardAttributes returns the attributes of a shard's instruments.
func shardAttributes(id api.ShardID) metric.MeasurementOption {
	return metric.WithAttributeSet(attribute.NewSet(attribute.String("serving_group", string(id.ServingGroup))))
}

// recordDecision records one decision.
func (m *metrics) recordDecision(o *ownedShard, d Decision, wait time.Duration) {
	ctx := context.Background()
	if d.Err != nil {
		m.refusals.Add(ctx, 1, o.attributes, metric.WithAttributes(attribute.String("code", string(d.Err.Code))))
		return
	}
	m.grants.Add(ctx, 1, o.attributes)
	m.wait.Record(ctx, wait.Seconds(), o.attributes)
}
