package telemetry

import (
	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
)

// Instruments creates the instruments of one part and collects the errors. A
// nil meter creates instruments that measure nothing.
type Instruments struct {
	meter metric.Meter
	err   error
}

// NewInstruments returns a builder on a meter, which may be nil.
func NewInstruments(meter metric.Meter) *Instruments {
	if meter == nil {
		meter = noop.NewMeterProvider().Meter("")
	}
	return &Instruments{meter: meter}
}

// Counter creates a counter of events.
func (i *Instruments) Counter(name, description string) metric.Int64Counter {
	c, err := i.meter.Int64Counter(name, metric.WithDescription(description))
	i.err = errors.CombineErrors(i.err, err)
	return c
}

// Seconds creates a histogram of times in seconds.
func (i *Instruments) Seconds(name, description string) metric.Float64Histogram {
	h, err := i.meter.Float64Histogram(name, metric.WithUnit("s"), metric.WithDescription(description))
	i.err = errors.CombineErrors(i.err, err)
	return h
}

// Err returns the errors of every instrument.
func (i *Instruments) Err() error { return i.err }
