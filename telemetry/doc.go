// Package telemetry sets up what a program reports: JSON logs by slog, metrics
// by tally with a Prometheus page, health and readiness, and OpenTelemetry
// spans that travel between processes as W3C traceparents.
package telemetry
