package entry

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
	"github.com/snipestep/snipestep/internal/connguard"
	"github.com/snipestep/snipestep/telemetry"
)

const (
	firstTokenMinBucket    = 10 * time.Millisecond
	firstTokenBucketFactor = 1.5
	firstTokenBucketCount  = 22
)

// firstTokenBuckets range from 10 ms to about 50 s.
var firstTokenBuckets = tally.MustMakeExponentialDurationBuckets(firstTokenMinBucket, firstTokenBucketFactor, firstTokenBucketCount)

func rankTag(rank core.Rank) map[string]string {
	return map[string]string{telemetry.TagRank: rank.String()}
}

// newCountedKeyValue wraps the key-value service to count its calls and errors.
func newCountedKeyValue(deps Deps) backing.KeyValue {
	callCounters := make(map[string]tally.Counter, len(backing.KeyValueCalls))
	errorCounters := make(map[string]tally.Counter, len(backing.KeyValueCalls))
	for _, name := range backing.KeyValueCalls {
		scope := deps.Scope.Tagged(map[string]string{telemetry.TagCall: name})
		callCounters[name] = scope.Counter(telemetry.MetricStoreCalls)
		errorCounters[name] = scope.Counter(telemetry.MetricStoreErrors)
	}
	return backing.NewObservedKeyValue(deps.KeyValue, func(call string, failed bool) {
		callCounters[call].Inc(1)
		if failed {
			errorCounters[call].Inc(1)
		}
	})
}

// sampler returns the sampler of the entry's metrics. The sockets must be open.
func (e *Entry) sampler() *telemetry.Sampler {
	s := telemetry.NewSampler(e.deps.Scope)
	connguard.SampleBrokenResponses(s)
	for rank := range core.RankCount {
		s.Gauge(telemetry.MetricWaitingCalls, rankTag(core.Rank(rank)), func() float64 {
			return float64(e.dispatcher.waitingByRank[rank].Load())
		})
	}
	s.Gauge(telemetry.MetricHeldAnswerBytes, nil, func() float64 { return float64(e.calls.answers.Total()) })
	s.Gauge(telemetry.MetricQuarantinedFingerprints, nil, func() float64 { return float64(e.quarantine.count()) })
	s.Gauge(telemetry.MetricConfigGeneration, nil, func() float64 { return float64(e.documents.Generation()) })
	s.Gauge(telemetry.MetricKnownInstances, nil, func() float64 { return float64(e.countAliveInstances()) })
	s.Gauge(telemetry.MetricSessions, nil, func() float64 {
		return float64(e.pool.countOpen() + len(e.listener.Sessions()))
	})
	s.BoolGauge(telemetry.MetricPlanLeaseHeld, func() bool { return e.executor.lease.Load() != nil })
	s.Counter(telemetry.MetricDroppedAnswers, nil, e.calls.droppedEvents.Load)
	s.Counter(telemetry.MetricResumes, nil, e.calls.resumedResponses.Load)
	e.registerDatagramMetrics(s)
	e.registerZeroCounters()
	return s
}

func (e *Entry) registerDatagramMetrics(s *telemetry.Sampler) {
	s.Counter(telemetry.MetricProtocolFaults, map[string]string{telemetry.TagFault: "session"}, e.faults.RejectedSessions)
	s.Counter(telemetry.MetricProtocolFaults, map[string]string{telemetry.TagFault: "stream"}, e.faults.RejectedStreams)
	s.Counter(telemetry.MetricDatagramsSent, nil, func() int64 { return e.transport.Counts().Sent })
	s.Counter(telemetry.MetricDatagramsReceived, nil, func() int64 { return e.transport.Counts().Received })
	s.Counter(telemetry.MetricDatagramsRejected, nil, func() int64 {
		return e.transport.Counts().Dropped + e.routes.rejectedDatagrams.Load()
	})
	s.Counter(telemetry.MetricControlBytes, nil, func() int64 {
		counts := e.transport.Counts()
		return counts.SentBytes + counts.ReceivedBytes
	})
}

// registerZeroCounters reports 0 for counters of rare events, so that alerts can
// tell "never happened" from a missing metric.
func (e *Entry) registerZeroCounters() {
	e.deps.Scope.Counter(telemetry.MetricRetries).Inc(0)
	e.deps.Scope.Counter(telemetry.MetricStrikes).Inc(0)
}

func (e *Entry) countAliveInstances() int {
	n := 0
	for _, m := range e.routes.membership.View().Instances {
		if m.State == fleet.MemberAlive {
			n++
		}
	}
	return n
}
