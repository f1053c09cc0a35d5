package admission

import (
	"time"
)

// serviceTimeWeight is the weight of a new sample in the mean service time.
const serviceTimeWeight = 1.0 / 32

// Outcome is how a request at an endpoint ended.
type Outcome uint8

// The outcomes.
const (
	// Served: the endpoint responded, with any status.
	Served Outcome = iota
	// NotRun: the endpoint reported that it did not run the request.
	NotRun
	// Failed: there was no response, an incomplete one, or one that does not
	// belong to the request.
	Failed
	// TimedOut: no part of a response came in time. It does not count as a failure
	// of an endpoint that makes progress on other requests.
	TimedOut
	// Cancelled: the caller or the entry cancelled the request, which says nothing
	// about the endpoint.
	Cancelled
	// NotSent: nothing was sent, since the endpoint was withdrawn after the choice. The request has
	// failed nowhere.
	NotSent
)

// Done frees the slot of a request and reports whether its outcome opened the
// circuit breaker of the endpoint.
func (p *Pool) Done(now time.Time, endpointID string, requestID uint64, outcome Outcome) (breakerOpened bool) {
	endpoint := p.endpoints[endpointID]
	if endpoint == nil {
		return false
	}
	req, ok := endpoint.inFlight[requestID]
	if !ok {
		return false
	}
	if outcome == NotSent {
		p.takeBack(now, endpoint, requestID, req)
		return false
	}
	delete(endpoint.inFlight, requestID)
	p.recordEndForLocality(now, endpoint, req.sentAt)
	if endpoint.reportCovers(req.sentAt, p.config.ReportLag) {
		endpoint.endedSinceReport++
		endpoint.quota.remaining += p.stochasticRound(min(p.demandShare(endpoint.report.Demand)*quotaOvercommit, 1))
	}
	if outcome == Served || outcome == NotRun {
		endpoint.respondedAt = now
	}
	switch outcome {
	case Served:
		p.endProbing(endpoint, req.sentAt)
		endpoint.breaker.recordSuccess()
		// The mean is that at usual speed: the release rate divides by the slowdown again.
		took := time.Duration(float64(now.Sub(req.sentAt)) / endpoint.slowdown(now))
		p.meanServiceTime += time.Duration(float64(took-p.meanServiceTime) * serviceTimeWeight)
	case NotRun:
		p.recordNotRun(now, endpoint)
	case TimedOut:
		if !req.responseStarted {
			endpoint.firstResponse.add(now, now.Sub(req.sentAt))
		}
		if now.Sub(endpoint.lastProgress) <= livenessWindow {
			return false
		}
		return endpoint.breaker.recordFailure(now)
	case Failed:
		return endpoint.breaker.recordFailure(now)
	case Cancelled, NotSent:
	}
	return false
}

// recordNotRun records that an endpoint did not run a request: whatever the last report
// said, it is full or no longer has the weights that it is listed with. This holds until
// the next report.
func (p *Pool) recordNotRun(now time.Time, endpoint *endpointState) {
	if p.config.AgentReports {
		// The report keeps its age: what else it says, as the version, may be outdated.
		endpoint.notRunAt = now
		return
	}
	endpoint.report.ReceivedAt = now
	endpoint.report.Running = max(endpoint.report.Running, endpoint.Slots+p.config.Oversubscription)
}
