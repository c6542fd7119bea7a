package telemetry

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
)

// meterName is the instrumentation scope of all metrics.
const meterName = "egretfield"

// Metrics collects the metrics of a process and serves them to Prometheus.
type Metrics struct {
	provider *sdkmetric.MeterProvider
	registry *prometheus.Registry
}

// NewMetrics returns a Metrics that contains only the metrics of the Go runtime and the
// process.
func NewMetrics() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo())
	if err != nil {
		return nil, eris.Wrap(err, "metrics exporter")
	}
	return &Metrics{
		provider: sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter)),
		registry: registry,
	}, nil
}

// Meter returns the meter with which packages create their instruments.
func (m *Metrics) Meter() metric.Meter {
	return m.provider.Meter(meterName)
}

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
