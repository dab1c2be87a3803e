// Package telemetry sets up the OpenTelemetry metrics of a daemon and serves
// them in the Prometheus text format.
package telemetry

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
)

// scope is the name of the instrumentation scope.
const scope = "github.com/crocusway/crocusway"

// Provider owns the metrics of one daemon.
type Provider struct {
	registry *prometheus.Registry
	provider *sdkmetric.MeterProvider
}

// New returns a provider with its own registry.
func New() (*Provider, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo())
	if err != nil {
		return nil, errors.Wrap(err, "create metrics exporter")
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	return &Provider{registry: registry, provider: provider}, nil
}

// Meter returns the meter of all components of the daemon.
func (p *Provider) Meter() metric.Meter { return p.provider.Meter(scope) }

// Handler serves the metrics in the Prometheus text format.
func (p *Provider) Handler() fasthttp.RequestHandler {
	return fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(p.registry, promhttp.HandlerOpts{}))
}

// Close shuts the meter provider down.
func (p *Provider) Close(ctx context.Context) error { return p.provider.Shutdown(ctx) }
