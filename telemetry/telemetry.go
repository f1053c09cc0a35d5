package telemetry

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"
)

// reportInterval is how often metrics move from tally to the Prometheus page.
const reportInterval = time.Second

// Telemetry holds the reporters of one program.
type Telemetry struct {
	Logger *slog.Logger
	Scope  tally.Scope
	Tracer trace.Tracer

	metrics     http.Handler
	scopeCloser io.Closer
	stopTracing func(context.Context) error
}

// Start sets up the reporters. It does not wait for the collector of spans.
// It returns *LogLevelError, or the error of the span exporter.
func Start(ctx context.Context, config Config) (*Telemetry, error) {
	logger, err := newLogger(config)
	if err != nil {
		return nil, err
	}
	tracer, stop, err := newTracer(ctx, config)
	if err != nil {
		return nil, eris.Wrap(err, "set up the export of spans")
	}
	scope, closer, metrics := newScope(logger)
	return &Telemetry{
		Logger:      logger,
		Scope:       scope,
		Tracer:      tracer,
		metrics:     metrics,
		scopeCloser: closer,
		stopTracing: stop,
	}, nil
}

// Shutdown flushes metrics and spans. It blocks until they are sent or ctx
// ends.
func (t *Telemetry) Shutdown(ctx context.Context) error {
	return errors.Join(t.scopeCloser.Close(), t.stopTracing(ctx))
}
