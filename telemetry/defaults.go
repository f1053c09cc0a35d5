package telemetry

import (
	"log/slog"

	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// LoggerOrNoop returns l, or a logger that discards everything if l is nil.
func LoggerOrNoop(l *slog.Logger) *slog.Logger {
	if l == nil {
		return slog.New(slog.DiscardHandler)
	}
	return l
}

// ScopeOrNoop returns s, or a scope that records nothing if s is nil.
func ScopeOrNoop(s tally.Scope) tally.Scope {
	if s == nil {
		return tally.NoopScope
	}
	return s
}

// TracerOrNoop returns t, or a tracer that records nothing if t is nil.
func TracerOrNoop(t trace.Tracer) trace.Tracer {
	if t == nil {
		return noop.NewTracerProvider().Tracer("")
	}
	return t
}
