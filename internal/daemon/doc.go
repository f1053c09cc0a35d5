// Package daemon is the frame that the long-running programs share: checking
// settings, telemetry, the metrics server, signals and exit statuses.
package daemon
