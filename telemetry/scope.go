package telemetry

import (
	"io"
	"log/slog"
	"net/http"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// metricPrefix is the prefix of every metric name.
const metricPrefix = "snipestep"

// newScope returns a root scope, and the registry and the handler of its Prometheus page.
func newScope(logger *slog.Logger) (tally.Scope, io.Closer, prom.Registerer, http.Handler) {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer: registry,
		Gatherer:   pageOrder(registry),
		OnRegisterError: func(err error) {
			logger.Error("metric registration failed", "error", err)
		},
	})
	registry.MustRegister(collectors.NewGoCollector())
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 metricPrefix,
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return scope, closer, registry, reporter.HTTPHandler()
}
