package entry

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
	"github.com/snipestep/snipestep/telemetry"
)

const (
	firstTokenSmallest = 10 * time.Millisecond
	firstTokenFactor   = 1.5
	firstTokenCount    = 22
)

// firstTokenBuckets reach from 10 ms to about 50 s.
var firstTokenBuckets = tally.MustMakeExponentialDurationBuckets(firstTokenSmallest, firstTokenFactor, firstTokenCount)

func rankTag(rank core.Rank) map[string]string {
	return map[string]string{telemetry.TagRank: rank.String()}
}

// countedKeyValue returns the key-value service with its calls counted.
func countedKeyValue(deps Deps) backing.KeyValue {
	calls := make(map[string]tally.Counter, len(backing.KeyValueCalls))
	faults := make(map[string]tally.Counter, len(backing.KeyValueCalls))
	for _, name := range backing.KeyValueCalls {
		scope := deps.Scope.Tagged(map[string]string{telemetry.TagCall: name})
		calls[name] = scope.Counter(telemetry.MetricStoreCalls)
		faults[name] = scope.Counter(telemetry.MetricStoreErrors)
	}
	return backing.NewObservedKeyValue(deps.KeyValue, func(call string, failed bool) {
		calls[call].Inc(1)
		if failed {
			faults[call].Inc(1)
		}
	})
}

// sampler reports the state of the entry. The sockets must be open.
func (e *Entry) sampler() *telemetry.Sampler {
	s := telemetry.NewSampler(e.deps.Scope)
	for rank := range core.RankCount {
		s.Gauge(telemetry.MetricWaitingCalls, rankTag(core.Rank(rank)), func() float64 {
			return float64(e.dispatcher.waiting[rank].Load())
		})
	}
	s.Gauge(telemetry.MetricQuarantinedFingerprints, nil, func() float64 { return float64(e.quarantine.size()) })
	s.Gauge(telemetry.MetricConfigGeneration, nil, func() float64 { return float64(e.held.Generation()) })
	s.Gauge(telemetry.MetricKnownInstances, nil, func() float64 { return float64(e.aliveInstances()) })
	s.Gauge(telemetry.MetricSessions, nil, func() float64 {
		return float64(e.pool.size() + len(e.listener.Sessions()))
	})
	s.BoolGauge(telemetry.MetricPlanLeaseHeld, func() bool { return e.executor.tenure.Load() != nil })
	s.Counter(telemetry.MetricDroppedAnswers, nil, e.calls.dropped.Load)
	s.Counter(telemetry.MetricResumes, nil, e.calls.resumed.Load)
	e.sampleDatagrams(s)
	e.registerRare()
	return s
}

func (e *Entry) sampleDatagrams(s *telemetry.Sampler) {
	s.Counter(telemetry.MetricProtocolFaults, map[string]string{telemetry.TagFault: "session"}, e.faults.RejectedSessions)
	s.Counter(telemetry.MetricProtocolFaults, map[string]string{telemetry.TagFault: "stream"}, e.faults.RejectedStreams)
	s.Counter(telemetry.MetricDatagramsSent, nil, func() int64 { return e.plane.Counts().Sent })
	s.Counter(telemetry.MetricDatagramsReceived, nil, func() int64 { return e.plane.Counts().Received })
	s.Counter(telemetry.MetricDatagramsRejected, nil, func() int64 {
		return e.plane.Counts().Dropped + e.routes.old.Load()
	})
	s.Counter(telemetry.MetricControlBytes, nil, func() int64 {
		counts := e.plane.Counts()
		return counts.SentBytes + counts.ReceivedBytes
	})
}

// registerRare reports 0 for what may never happen, so that alerts can tell
// it from a metric that is missing.
func (e *Entry) registerRare() {
	e.deps.Scope.Counter(telemetry.MetricRetries).Inc(0)
	e.deps.Scope.Counter(telemetry.MetricStrikes).Inc(0)
}

func (e *Entry) aliveInstances() int {
	n := 0
	for _, m := range e.routes.membership.View().Instances {
		if m.State == fleet.MemberAlive {
			n++
		}
	}
	return n
}
