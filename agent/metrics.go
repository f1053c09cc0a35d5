package agent

import (
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/telemetry"
	"github.com/snipestep/snipestep/wire"
)

// The values of the order tag.
const (
	orderPrefetch = "prefetch"
	orderServe    = "serve"
	orderDrain    = "drain"
	orderResume   = "resume"
	orderUnknown  = "unknown"
)

// sampler reports the state of the agent. The sockets must be open.
func (a *Agent) sampler() *telemetry.Sampler {
	s := telemetry.NewSampler(a.deps.Scope)
	a.sampleCalls(s)
	a.sampleDatagrams(s)
	s.Gauge(telemetry.MetricGeneration, nil, func() float64 { return float64(a.held.Generation()) })
	s.Gauge(telemetry.MetricSessions, nil, func() float64 { return float64(len(a.listener.Sessions())) })
	s.Gauge(telemetry.MetricWeightsVerified, nil, a.verifiedRatio)
	s.Flag(telemetry.MetricServing, func() bool { return !a.reporter.draining.Load() })
	s.Flag(telemetry.MetricLeaving, a.reporter.leaving.Load)
	return s
}

func (a *Agent) sampleCalls(s *telemetry.Sampler) {
	for rank := range core.RankCount {
		tags := map[string]string{telemetry.TagRank: core.Rank(rank).String()}
		s.Gauge(telemetry.MetricRunning, tags, func() float64 { return float64(a.sched.load.Load().Running[rank]) })
		s.Gauge(telemetry.MetricQueued, tags, func() float64 { return float64(a.sched.load.Load().Waiting[rank]) })
	}
	s.Counter(telemetry.MetricDropped, nil, a.counts.dropped.Load)
	s.Counter(telemetry.MetricPreemptions, nil, a.counts.preempted.Load)
	for code, read := range map[string]func() int64{
		CodeNotStarted: a.counts.notStarted.Load,
		CodeCrash:      a.counts.crashed.Load,
		CodeUnknown:    a.counts.unknown.Load,
	} {
		s.Counter(telemetry.MetricEndpointErrors, map[string]string{telemetry.TagCode: code}, read)
	}
}

func (a *Agent) sampleDatagrams(s *telemetry.Sampler) {
	s.Counter(telemetry.MetricProtocolFaults, map[string]string{telemetry.TagFault: "session"}, a.faults.Sessions)
	s.Counter(telemetry.MetricProtocolFaults, map[string]string{telemetry.TagFault: "stream"}, a.faults.Streams)
	s.Counter(telemetry.MetricDatagramsSent, nil, func() int64 { return a.plane.Counts().Sent })
	s.Counter(telemetry.MetricDatagramsReceived, nil, func() int64 { return a.plane.Counts().Received })
	s.Counter(telemetry.MetricDatagramsRejected, nil, func() int64 {
		return a.plane.Counts().Dropped + a.counts.old.Load()
	})
	s.Counter(telemetry.MetricControlBytes, nil, func() int64 {
		counts := a.plane.Counts()
		return counts.SentBytes + counts.ReceivedBytes
	})
}

// verifiedRatio returns the verified part of the weights being fetched, 0
// before any order.
func (a *Agent) verifiedRatio() float64 {
	_, have, total := a.weights.progress()
	if total == 0 {
		return 0
	}
	return float64(have) / float64(total)
}

// countOrder reports one order of an entry.
func (a *Agent) countOrder(req *wire.OrderRequest, accepted bool) {
	outcome := "accepted"
	if !accepted {
		outcome = "refused"
	}
	a.deps.Scope.Tagged(map[string]string{
		telemetry.TagOrder:   orderName(req),
		telemetry.TagOutcome: outcome,
	}).Counter(telemetry.MetricOrders).Inc(1)
}

func orderName(req *wire.OrderRequest) string {
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
