package pipeline

import (
	"context"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/telemetry"
)

// metrics are the instruments of the request path.
type metrics struct {
	requests   metric.Int64Counter
	attempts   metric.Int64Counter
	cuts       metric.Int64Counter
	resumes    metric.Int64Counter
	firstToken metric.Float64Histogram
	duration   metric.Float64Histogram
	labels     *labels
}

// newMetrics creates the instruments; a nil meter disables them.
func newMetrics(meter metric.Meter) (metrics, error) {
	in := telemetry.NewInstruments(meter)
	m := metrics{
		requests:   in.Counter("crocusway_requests", "Ended requests, by kind, outcome and refusal."),
		attempts:   in.Counter("crocusway_request_attempts", "Dispatches to backend servers."),
		cuts:       in.Counter("crocusway_streams_cut", "Streams that ended with an error event."),
		resumes:    in.Counter("crocusway_streams_resumed", "Streams that continued on a further attempt."),
		firstToken: in.Seconds("crocusway_first_token", "Time from the receipt of a request to its first token."),
		duration:   in.Seconds("crocusway_request_duration", "Time from the receipt of a request to its end."),
		labels:     newLabels(),
	}
	return m, in.Err()
}

// endLabels are the labels of an ended request.
type endLabels struct {
	kind    callKind
	outcome api.Outcome
	refusal string
}

// labels caches attribute sets, because building one costs more than recording
// with it.
type labels struct {
	kinds [callService + 1]metric.MeasurementOption
	// ends maps endLabels to a metric.MeasurementOption. Its size is bounded by
	// the number of kinds, outcomes and refusal codes.
	ends sync.Map
}

func newLabels() *labels {
	l := &labels{}
	for kind := range l.kinds {
		l.kinds[kind] = metric.WithAttributeSet(attribute.NewSet(attribute.String("kind", callKind(kind).String())))
	}
	return l
}

// end returns the attributes of an ended request.
func (l *labels) end(e endLabels) metric.MeasurementOption {
	if found, ok := l.ends.Load(e); ok {
		return found.(metric.MeasurementOption)
	}
	set := metric.WithAttributeSet(attribute.NewSet(
		attribute.String("kind", e.kind.String()),
		attribute.String("outcome", string(e.outcome)),
		attribute.String("refusal", e.refusal),
	))
	l.ends.Store(e, set)
	return set
}

// String returns the name of the kind for metrics.
func (k callKind) String() string {
	switch k {
	case callChat:
		return "chat"
	case callCompletion:
		return "completion"
	default:
		return "service"
	}
}

// observeEnd records the end of a call.
func (m *metrics) observeEnd(c *call, now time.Time) {
	ctx := context.Background()
	kind := m.labels.kinds[c.kind]
	m.requests.Add(ctx, 1, m.labels.end(endLabels{c.kind, c.outcome, c.refusal}))
	m.attempts.Add(ctx, int64(c.dispatches), kind)
	if c.received.IsZero() {
		return
	}
	m.duration.Record(ctx, now.Sub(c.received).Seconds(), kind)
	if c.firstTokenAt.IsZero() {
		return
	}
	m.firstToken.Record(ctx, c.firstTokenAt.Sub(c.received).Seconds(), kind)
}
