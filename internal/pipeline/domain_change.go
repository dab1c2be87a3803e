package pipeline

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/telemetry"
)

// firstTokenTarget is the longest time to the first token of a served request.
const firstTokenTarget = 510 * time.Millisecond

// domainChangeCounter counts the requests that arrive while a failure domain
// leaves or returns, by whether they were served.
type domainChangeCounter struct {
	counter       metric.Int64Counter
	ended, served atomic.Int64
}

func newDomainChangeCounter(meter metric.Meter) (*domainChangeCounter, error) {
	in := telemetry.NewInstruments(meter)
	d := &domainChangeCounter{
		counter: in.Counter("crocusway_domain_change_requests", "Requests during failure domain changes, by whether they were served in time."),
	}
	return d, in.Err()
}

// count counts one ended call.
func (d *domainChangeCounter) count(c *call) {
	if !c.domainChanging || c.isCallerError() {
		return
	}
	served := c.isServed()
	d.ended.Add(1)
	if served {
		d.served.Add(1)
	}
	d.counter.Add(context.Background(), 1, metric.WithAttributes(attribute.Bool("served", served)))
}

// ServiceCount returns the requests counted during failure domain changes.
func (s *Server) ServiceCount() api.ServiceCount {
	served := s.domainChange.served.Load()
	return api.ServiceCount{Ended: s.domainChange.ended.Load(), Served: served}
}

// isServed reports whether the call completed and its first token, if any, came
// within firstTokenTarget.
func (c *call) isServed() bool {
	late := !c.firstTokenAt.IsZero() && c.firstTokenAt.Sub(c.received) > firstTokenTarget
	return c.outcome == api.OutcomeComplete && !late
}

// isCallerError reports whether the entry refused the call for an error of the
// caller.
func (c *call) isCallerError() bool {
	status := c.http.Response.StatusCode()
	return c.refusal != "" && status < fasthttp.StatusTooManyRequests
}
