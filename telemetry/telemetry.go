package telemetry

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"
)

// reportInterval is the interval at which tally updates the Prometheus page.
const reportInterval = time.Second

// Telemetry holds the logger, the metrics scope and the tracer of one program.
type Telemetry struct {
	Logger *slog.Logger
	Scope  tally.Scope
	Tracer trace.Tracer

	registry       prom.Registerer
	metricsHandler http.Handler
	scopeCloser    io.Closer
	shutdownTracer func(context.Context) error
}

// Start sets up logs, metrics and traces. It does not wait for a connection to the
// span collector. It returns *LogLevelError, or the error of the span exporter.
func Start(ctx context.Context, config Config) (*Telemetry, error) {
	logger, err := newLogger(config)
	if err != nil {
		return nil, err
	}
	tracer, shutdownTracer, err := newTracer(ctx, config)
	if err != nil {
		return nil, eris.Wrap(err, "create the span exporter")
	}
	scope, closer, registry, metricsHandler := newScope(logger)
	return &Telemetry{
		Logger:         logger,
		Scope:          scope,
		Tracer:         tracer,
		registry:       registry,
		metricsHandler: metricsHandler,
		scopeCloser:    closer,
		shutdownTracer: shutdownTracer,
	}, nil
}

// Shutdown flushes metrics and spans. It blocks until they are sent or ctx
// ends.
func (t *Telemetry) Shutdown(ctx context.Context) error {
	return errors.Join(t.scopeCloser.Close(), t.shutdownTracer(ctx))
}
