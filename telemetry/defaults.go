package telemetry

import (
	"log/slog"

	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// LoggerOrNone returns the logger, or one that drops everything for nil.
func LoggerOrNone(l *slog.Logger) *slog.Logger {
	if l == nil {
		return slog.New(slog.DiscardHandler)
	}
	return l
}

// ScopeOrNone returns the scope, or one that counts nothing for nil.
func ScopeOrNone(s tally.Scope) tally.Scope {
	if s == nil {
		return tally.NoopScope
	}
	return s
}

// TracerOrNone returns the tracer, or one that records nothing for nil.
func TracerOrNone(t trace.Tracer) trace.Tracer {
	if t == nil {
		return noop.NewTracerProvider().Tracer("")
	}
	return t
}
