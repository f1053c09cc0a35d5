package agent

import (
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/internal/connguard"
	"github.com/snipestep/snipestep/telemetry"
	"github.com/snipestep/snipestep/wire"
)

// The values of the order tag of MetricOrders.
const (
	orderPrefetch = "prefetch"
	orderServe    = "serve"
	orderDrain    = "drain"
	orderResume   = "resume"
	orderUnknown  = "unknown"
)

// sampler returns a sampler of the agent's metrics. The sockets must be open.
func (a *Agent) sampler() *telemetry.Sampler {
	s := telemetry.NewSampler(a.deps.Scope)
	a.sampleCalls(s)
	a.sampleNetwork(s)
	connguard.SampleBrokenResponses(s)
	s.Gauge(telemetry.MetricConfigGeneration, nil, func() float64 { return float64(a.documents.Generation()) })
	s.Gauge(telemetry.MetricSessions, nil, func() float64 { return float64(len(a.listener.Sessions())) })
	s.Gauge(telemetry.MetricWeightsVerified, nil, a.verifiedRatio)
	s.BoolGauge(telemetry.MetricServing, func() bool { return !a.reporter.draining.Load() })
	s.BoolGauge(telemetry.MetricLeaving, a.reporter.leaving.Load)
	return s
}

func (a *Agent) sampleCalls(s *telemetry.Sampler) {
	for rank := range core.RankCount {
		tags := map[string]string{telemetry.TagRank: core.Rank(rank).String()}
		s.Gauge(telemetry.MetricRunningCalls, tags, func() float64 { return float64(a.sched.load.Load().Running[rank]) })
		s.Gauge(telemetry.MetricQueuedCalls, tags, func() float64 { return float64(a.sched.load.Load().Waiting[rank]) })
	}
	s.Counter(telemetry.MetricDroppedAnswers, nil, a.counters.misdelivered.Load)
	s.Counter(telemetry.MetricPreemptions, nil, a.counters.preemptions.Load)
	s.Gauge(telemetry.MetricHeldAnswerBytes, nil, func() float64 { return float64(a.answers.Total()) })
	for code, read := range map[string]func() int64{
		CodeNotStarted:     a.counters.notStarted.Load,
		CodeCrash:          a.counters.crashes.Load,
		CodeOutcomeUnknown: a.counters.unknownOutcomes.Load,
		CodeNoRoom:         a.counters.noRoom.Load,
	} {
		s.Counter(telemetry.MetricEndpointErrors, map[string]string{telemetry.TagCode: code}, read)
	}
}

func (a *Agent) sampleNetwork(s *telemetry.Sampler) {
	s.Counter(telemetry.MetricProtocolFaults, map[string]string{telemetry.TagFault: "session"}, a.faults.RejectedSessions)
	s.Counter(telemetry.MetricProtocolFaults, map[string]string{telemetry.TagFault: "stream"}, a.faults.RejectedStreams)
	s.Counter(telemetry.MetricDatagramsSent, nil, func() int64 { return a.datagrams.Counts().Sent })
	s.Counter(telemetry.MetricDatagramsReceived, nil, func() int64 { return a.datagrams.Counts().Received })
	s.Counter(telemetry.MetricDatagramsRejected, nil, func() int64 {
		return a.datagrams.Counts().Dropped + a.counters.staleDatagrams.Load()
	})
	s.Counter(telemetry.MetricControlBytes, nil, func() int64 {
		counts := a.datagrams.Counts()
		return counts.SentBytes + counts.ReceivedBytes
	})
}

// verifiedRatio returns the verified fraction of the weights being fetched, or 0
// before any order.
func (a *Agent) verifiedRatio() float64 {
	_, have, total := a.weightManager.progress()
	if total == 0 {
		return 0
	}
	return float64(have) / float64(total)
}

// countOrder counts one order of an entry.
func (a *Agent) countOrder(req *wire.OrderRequest, accepted bool) {
	outcome := "accepted"
	if !accepted {
		outcome = "refused"
	}
	a.deps.Scope.Tagged(map[string]string{
		telemetry.TagOrder:   orderTag(req),
		telemetry.TagOutcome: outcome,
	}).Counter(telemetry.MetricOrders).Inc(1)
}

func orderTag(req *wire.OrderRequest) string {
	switch req.GetOrder().(type) {
	case *wire.OrderRequest_Prefetch:
		return orderPrefetch
	case *wire.OrderRequest_Serve:
		return orderServe
	case *wire.OrderRequest_Drain:
		return orderDrain
	case *wire.OrderRequest_Resume:
		return orderResume
	}
	return orderUnknown
}
