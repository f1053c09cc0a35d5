// Package telemetry sets up a program's JSON logs (slog), metrics (tally with a
// Prometheus page), health and readiness pages, and OpenTelemetry spans, whose
// context is propagated between processes as W3C traceparents.
package telemetry
