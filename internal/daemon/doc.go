// Package daemon provides what the long-running programs share: telemetry, the
// metrics server, signal handling and exit statuses.
package daemon
