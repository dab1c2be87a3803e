package telemetry

import (
	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
)

// Instruments creates the instruments of one component and collects the errors.
type Instruments struct {
	meter metric.Meter
	err   error
}

// NewInstruments returns a builder for a meter. With a nil meter, the instruments
// record nothing.
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

// Seconds creates a histogram of durations in seconds.
func (i *Instruments) Seconds(name, description string) metric.Float64Histogram {
	h, err := i.meter.Float64Histogram(name, metric.WithUnit("s"), metric.WithDescription(description))
	i.err = errors.CombineErrors(i.err, err)
	return h
}

// Err returns the combined errors of all instruments.
func (i *Instruments) Err() error { return i.err }
