package entry

import (
	"net/http"
	"slices"
	"testing"

	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/telemetry"
)

// reportedMetrics maps the name of each metric in a scope to whether any of its
// values is not 0.
func reportedMetrics(scope tally.TestScope) map[string]bool {
	reported := make(map[string]bool)
	snapshot := scope.Snapshot()
	for _, c := range snapshot.Counters() {
		reported[c.Name()] = reported[c.Name()] || c.Value() != 0
	}
	for _, g := range snapshot.Gauges() {
		reported[g.Name()] = reported[g.Name()] || g.Value() != 0
	}
	for _, h := range snapshot.Histograms() {
		for _, n := range h.Durations() {
			reported[h.Name()] = reported[h.Name()] || n != 0
		}
	}
	return reported
}

// maybeZeroMetrics may stay 0 in a fleet without faults and without load.
var maybeZeroMetrics = []string{
	telemetry.MetricWaitingCalls, telemetry.MetricRetries, telemetry.MetricResumes, telemetry.MetricDroppedAnswers,
	telemetry.MetricQuarantinedFingerprints, telemetry.MetricStrikes, telemetry.MetricDatagramsRejected,
	telemetry.MetricStoreErrors, telemetry.MetricRunningCalls, telemetry.MetricQueuedCalls, telemetry.MetricPreemptions,
	telemetry.MetricEndpointErrors, telemetry.MetricCorruptChunks, telemetry.MetricChunkFaults,
	telemetry.MetricLeaving, telemetry.MetricProtocolFaults, telemetry.MetricHeldAnswerBytes, telemetry.MetricCallerLimits,
	telemetry.MetricBrokenResponses,
}

func TestEveryDeclaredMetricIsReported(t *testing.T) {
	f := newTestFleet(t, 2, 1, 1)
	f.awaitAgents()
	v1 := f.publish("v1")
	f.applyIntent(0, placeIntent("v1"))
	f.awaitServing(v1)
	f.complete(0, "urgent", "hello", 4)
	status, _, body := f.post(0, "/v1/services/counter/purchase", "{}", "Idempotency-Key", "k")
	assert.Equal(t, status, http.StatusOK, body)
	status, _, _ = f.post(0, "/v1/chat/completions", "{}")
	assert.Equal(t, status, http.StatusBadRequest)
	for program, scope := range map[string]tally.TestScope{
		telemetry.ProgramEntry: f.entryScope,
		telemetry.ProgramAgent: f.agentScope,
	} {
		var names []string
		for _, m := range telemetry.Metrics {
			if !slices.Contains(m.Programs, program) {
				continue
			}
			names = append(names, m.Name)
			f.waitUntil(program+" reports "+m.Name, func() bool {
				nonzero, known := reportedMetrics(scope)[m.Name]
				return known && (nonzero || slices.Contains(maybeZeroMetrics, m.Name))
			})
		}
		for name := range reportedMetrics(scope) {
			assert.Assert(t, slices.Contains(names, name), "%s reports %s, which telemetry.Metrics does not declare", program, name)
		}
	}
}

func TestOneTraceHasASpanForEachHop(t *testing.T) {
	const trace = "4bf92f3577b34da6a3ce929d0e0e4736"
	f := newTestFleet(t, 1, 0, 1)
	f.awaitAgents()
	v1 := f.publish("v1")
	f.applyIntent(0, placeIntent("v1"))
	f.awaitServing(v1)
	status, _, body := f.post(0, "/v1/completions", `{"model":"letters","prompt":"p","max_tokens":2}`,
		telemetry.TraceparentHeader, "00-"+trace+"-00f067aa0ba902b7-01")
	assert.Equal(t, status, http.StatusOK, body)
	hops := []string{"entry.call", "entry.attempt", "agent.call", "endpoint.call"}
	var spans map[string]tracetest.SpanStub
	f.waitUntil("every span has ended", func() bool {
		spans = make(map[string]tracetest.SpanStub)
		for _, s := range f.spans.GetSpans() {
			spans[s.Name] = s
		}
		return len(spans) == len(hops)
	})
	parent := "00f067aa0ba902b7"
	for _, hop := range hops {
		span := spans[hop]
		assert.Equal(t, span.SpanContext.TraceID().String(), trace, hop)
		assert.Equal(t, span.Parent.SpanID().String(), parent, hop)
		parent = span.SpanContext.SpanID().String()
	}
	assert.Equal(t, f.traceparents()[0], "00-"+trace+"-"+parent+"-01")
}
