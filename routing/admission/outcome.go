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
)

// Done frees the slot of a request and reports whether its outcome opened the
// circuit breaker of the endpoint.
func (p *Pool) Done(now time.Time, endpoint string, id uint64, outcome Outcome) (opened bool) {
	s := p.endpoints[endpoint]
	if s == nil {
		return false
	}
	req, ok := s.inFlight[id]
	if !ok {
		return false
	}
	delete(s.inFlight, id)
	if s.reportCovers(req.sentAt, p.config.ReportLag) {
		s.endedSinceReport++
		s.quota.remaining += p.stochasticRound(min(p.demandShare(s.report.Demand)*quotaOvercommit, 1))
	}
	switch outcome {
	case Served:
		s.breaker.recordSuccess()
		p.meanServiceTime += time.Duration(float64(now.Sub(req.sentAt)-p.meanServiceTime) * serviceTimeWeight)
	case NotRun:
		// Whatever the last report said, the endpoint is full or has lost the
		// weights that it is listed with. The next report counts again.
		s.report.At = now
		s.report.Running = max(s.report.Running, s.Slots+p.config.Oversubscription)
		s.report.Closed = p.config.AgentReports
	case TimedOut:
		if !req.responseStarted {
			s.firstResponse.add(now, now.Sub(req.sentAt))
		}
		if now.Sub(s.lastProgress) <= livenessWindow {
			return false
		}
		return s.breaker.recordFailure(now)
	case Failed:
		return s.breaker.recordFailure(now)
	case Cancelled:
	}
	return false
}
