package intake

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/crocusway/crocusway/internal/telemetry"
)

// RetryAfter is the retry hint of an overloaded process, which lets go of incomplete requests
// at once.
const RetryAfter = 500 * time.Millisecond

// Status returns the status of the answer to a request that could not be read.
func Status(err error) int {
	switch {
	case errors.Is(err, ErrHeadTooLarge):
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, ErrBodyTooLarge):
		return fasthttp.StatusRequestEntityTooLarge
	case errors.Is(err, ErrTimeout):
		return fasthttp.StatusRequestTimeout
	case errors.Is(err, ErrOverloaded):
		return fasthttp.StatusServiceUnavailable
	}
	return fasthttp.StatusBadRequest
}

// Reason returns the word for an error in metrics, logs and answers.
func Reason(err error) string {
	switch {
	case errors.Is(err, ErrHeadTooLarge):
		return "header_too_large"
	case errors.Is(err, ErrBodyTooLarge):
		return "body_too_large"
	case errors.Is(err, ErrTimeout):
		return "receive_timeout"
	case errors.Is(err, ErrOverloaded):
		return "overloaded"
	case isExhausted(err):
		return "no_descriptor"
	case IsClosed(err):
		return "caller_left"
	}
	return "malformed_request"
}

// Message returns what callers are told about an error: never a part of their request.
func Message(err error) string {
	for _, known := range []error{ErrHeadTooLarge, ErrBodyTooLarge, ErrTimeout, ErrOverloaded} {
		if errors.Is(err, known) {
			return known.Error()
		}
	}
	return ErrMalformed.Error()
}

// SetRetryAfter adds the retry hint to the answer of an overloaded process.
func SetRetryAfter(h *fasthttp.ResponseHeader, err error) {
	if errors.Is(err, ErrOverloaded) {
		h.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(RetryAfter.Seconds(), 'f', 3, 64))
	}
}

// RefusePlain answers a request that could not be read with plain text.
func RefusePlain(ctx *fasthttp.RequestCtx, err error) {
	ctx.Error(Message(err), Status(err))
	SetRetryAfter(&ctx.Response.Header, err)
}

// Refusals counts refused callers by reason.
type Refusals struct{ counter metric.Int64Counter }

// NewRefusals registers the metrics of an account.
func NewRefusals(meter metric.Meter, account *Account) (*Refusals, error) {
	b := telemetry.NewInstruments(meter)
	r := &Refusals{counter: b.Counter("crocusway_intake_refusals_total", "connections and requests of callers that were refused unread, by reason")}
	if err := b.Err(); err != nil {
		return nil, err
	}
	held, err := meter.Int64ObservableGauge("crocusway_intake_held_bytes", metric.WithDescription("memory that callers hold, in bytes"))
	if err != nil {
		return nil, errors.Wrap(err, "register metric crocusway_intake_held_bytes")
	}
	connections, err := meter.Int64ObservableGauge("crocusway_intake_connections", metric.WithDescription("open connections of callers"))
	if err != nil {
		return nil, errors.Wrap(err, "register metric crocusway_intake_connections")
	}
	yields, err := meter.Int64ObservableCounter("crocusway_intake_yields_total",
		metric.WithDescription("idle connections and incomplete requests of callers that were closed to make room for others"))
	if err != nil {
		return nil, errors.Wrap(err, "register metric crocusway_intake_yields_total")
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		usage := account.Usage()
		o.ObserveInt64(held, usage.Bytes)
		o.ObserveInt64(connections, int64(usage.Connections))
		o.ObserveInt64(yields, usage.Yields)
		return nil
	}, held, connections, yields)
	return r, errors.Wrap(err, "register the metrics of the intake")
}

func (r *Refusals) add(reason string) {
	if r != nil {
		r.counter.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
	}
}
