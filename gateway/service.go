package gateway

import (
	"sync/atomic"
	"time"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/routing/admission"
)

// service is the gateway's state for one service.
type service struct {
	name        string
	gate        *admission.Gate
	retryBudget *retryBudget
	parts       *partTracker
	// hasRateLimits says that the gate knows a rate limit, so that responses without one
	// matter; knowsRateLimits that it knows of one or of the end of one.
	hasRateLimits, knowsRateLimits atomic.Bool
	rateLimitShare                 rateLimitShare
	// firstResponseNanos is the mean time from sending a request to its first
	// event or its complete response.
	firstResponseNanos atomic.Int64
	// perTokenNanos is the mean duration of a stream per token that its caller
	// expected.
	perTokenNanos atomic.Int64
	// perTokenMilliBytes is the mean size of a stream's events per token that its caller
	// expected, in thousandths of a byte.
	perTokenMilliBytes atomic.Int64
}

// agentSilent reports whether the agent of an endpoint has stopped sending reports. A request that
// has found no service has no endpoint.
func (s *service) agentSilent(now time.Time, endpointID string) (silent bool) {
	if s == nil {
		return false
	}
	s.gate.Inspect(func(p *admission.Pool) { silent = p.AgentSilent(now, endpointID) })
	return silent
}

// isUnresponsive reports whether an endpoint seems to stand still.
func (s *service) isUnresponsive(now time.Time, endpointID string) (unresponsive bool) {
	s.gate.Inspect(func(p *admission.Pool) { unresponsive = p.Unresponsive(now, endpointID) })
	return unresponsive
}

// incarnationOf returns the incarnation of an endpoint in the pools.
func incarnationOf(e *directory.Endpoint) admission.Incarnation {
	return admission.Incarnation{ID: e.ID, StartedUnixMS: e.StartedUnixMS}
}

const (
	// initialFirstResponse is the initial mean: a full engine needs one pass, the
	// prefill of the prompt and another pass.
	initialFirstResponse = 120 * time.Millisecond
	// initialPerToken is the initial mean: an engine generates a token in about
	// 8 ms.
	initialPerToken = 9 * time.Millisecond
	// meanDivisor is the inverse weight of a new sample in the means.
	meanDivisor = 32
)

func (s *service) observeFirstResponse(d time.Duration) {
	old := s.firstResponseNanos.Load()
	s.firstResponseNanos.Store(old + (int64(d)-old)/meanDivisor)
}

// observeStreamDuration records the duration of a stream from its first event on.
func (s *service) observeStreamDuration(duration time.Duration, lengthHint int) {
	if lengthHint <= 0 {
		return
	}
	old := s.perTokenNanos.Load()
	s.perTokenNanos.Store(old + (int64(duration)/int64(lengthHint)-old)/meanDivisor)
}

// expectedDuration returns how long a request is expected to occupy its slot.
func (s *service) expectedDuration(lengthHint int) time.Duration {
	return time.Duration(s.firstResponseNanos.Load() + int64(lengthHint)*s.perTokenNanos.Load())
}
