package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/snipestep/snipestep/internal/connguard"
	"github.com/snipestep/snipestep/routing/admission"
	"github.com/snipestep/snipestep/telemetry"
)

// metrics records the gateway's metrics.
type metrics struct {
	scope        tally.Scope
	lastAttempts *lastAttempts
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{scope: telemetry.ScopeOrNoop(scope), lastAttempts: newLastAttempts()}
}

// latencyBuckets range from a timely first event to a complete long stream.
var latencyBuckets = tally.DurationBuckets{
	25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond,
	300 * time.Millisecond, 400 * time.Millisecond, 600 * time.Millisecond, 800 * time.Millisecond,
	1200 * time.Millisecond, 2 * time.Second, 4 * time.Second, 8 * time.Second,
}

func (m *metrics) recordRequest(rank, outcome string, duration time.Duration) {
	scope := m.scope.Tagged(map[string]string{telemetry.TagRank: rank, telemetry.TagOutcome: outcome})
	scope.Counter(telemetry.MetricDirectRequests).Inc(1)
	scope.Histogram(telemetry.MetricResponseTime, latencyBuckets).RecordDuration(duration)
}

func (m *metrics) recordFirstResponse(rank string, d time.Duration) {
	m.scope.Tagged(map[string]string{telemetry.TagRank: rank}).
		Histogram(telemetry.MetricFirstResponseTime, latencyBuckets).RecordDuration(d)
}

func (m *metrics) recordQueueWait(rank string, d time.Duration) {
	m.scope.Tagged(map[string]string{telemetry.TagRank: rank}).
		Histogram(telemetry.MetricQueueWait, latencyBuckets).RecordDuration(d)
}

func (m *metrics) recordRetry(reason string) {
	m.scope.Tagged(map[string]string{telemetry.TagCode: reason}).Counter(telemetry.MetricDirectRetries).Inc(1)
}

func (m *metrics) recordConnectionMetAgain() {
	m.scope.Counter(telemetry.MetricConnectionsMetAgain).Inc(1)
}

func (m *metrics) recordWithdrawnAttempt(reason admission.Unavailability) {
	m.scope.Tagged(map[string]string{telemetry.TagReason: string(reason)}).Counter(telemetry.MetricWithdrawnAttempts).Inc(1)
}

func (m *metrics) recordCancelledConnection(end connguard.ConnectionEnd) {
	m.scope.Tagged(map[string]string{telemetry.TagEnd: string(end)}).Counter(telemetry.MetricCancelledConnections).Inc(1)
}

func (m *metrics) recordLeftAtSilentAgent(service string) {
	m.scope.Tagged(map[string]string{telemetry.TagService: service}).Counter(telemetry.MetricLeftAtSilentAgents).Inc(1)
}

func (m *metrics) recordProbe(service string, answered bool) {
	outcome := "failed"
	if answered {
		outcome = "answered"
	}
	m.scope.Tagged(map[string]string{telemetry.TagService: service, telemetry.TagOutcome: outcome}).Counter(telemetry.MetricProbes).Inc(1)
}

func (m *metrics) recordColdWithdrawal() {
	m.scope.Counter(telemetry.MetricColdWithdrawals).Inc(1)
}

func (m *metrics) updateColdDivisor(entries int) {
	m.scope.Gauge(telemetry.MetricColdDivisor).Update(float64(entries))
}

func (m *metrics) recordStrike() {
	m.scope.Counter(telemetry.MetricStrikes).Inc(1)
}

func (m *metrics) recordOutdatedCancellations(service string, requests int) {
	m.scope.Tagged(map[string]string{telemetry.TagService: service}).Counter(telemetry.MetricOutdatedCancellations).Inc(int64(requests))
}

func (m *metrics) recordVersionCorrection(service string) {
	m.scope.Tagged(map[string]string{telemetry.TagService: service}).Counter(telemetry.MetricVersionCorrections).Inc(1)
}

// recordAttemptVersion records the version of an attempt that is sent now, and its
// relation to the minimum version. It ignores services without weights.
func (m *metrics) recordAttemptVersion(now time.Time, service string, estimate admission.LoadEstimate, minVersion uint64) {
	if estimate.VersionSource == "" {
		return
	}
	m.lastAttempts.record(now, service, estimate.LoadedVersion)
	m.scope.Tagged(map[string]string{
		telemetry.TagService: service, telemetry.TagRelation: versionRelation(estimate.LoadedVersion, minVersion), telemetry.TagSource: string(estimate.VersionSource),
	}).Counter(telemetry.MetricAttemptsByVersion).Inc(1)
}

// versionRelation returns how a version compares with the minimum version.
func versionRelation(version, minVersion uint64) string {
	switch {
	case version < minVersion:
		return "older"
	case version == minVersion:
		return "minimum"
	default:
		return "newer"
	}
}

func (m *metrics) updateRateLimited(service string, endpoints int) {
	m.scope.Tagged(map[string]string{telemetry.TagService: service}).Gauge(telemetry.MetricRateLimitedEndpoints).Update(float64(endpoints))
}

func (m *metrics) updateQuarantined(requests int) {
	m.scope.Gauge(telemetry.MetricQuarantinedFingerprints).Update(float64(requests))
}
