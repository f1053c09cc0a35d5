package places

import (
	"time"
)

// holdWeight is the weight of a new sample in the mean time of a place.
const holdWeight = 1.0 / 32

// Outcome is how a request at an endpoint ended.
type Outcome uint8

// The outcomes.
const (
	// Served: the endpoint answered, with whatever status.
	Served Outcome = iota
	// NotRun: the endpoint said that it did not run the request.
	NotRun
	// Broken: no answer, a broken one or one that is not the endpoint's.
	Broken
	// Silent: nothing came for long. It says nothing of the health of an
	// endpoint that goes on with other requests.
	Silent
	// Left: the caller left; it says nothing of the endpoint.
	Left
)

// Done frees a place.
func (p *Pool) Done(now time.Time, endpoint string, id uint64, outcome Outcome) (setAside bool) {
	s := p.endpoints[endpoint]
	if s == nil {
		return false
	}
	placed, ok := s.own[id]
	if !ok {
		return false
	}
	delete(s.own, id)
	if s.seen(placed.sent, p.config.ReportLag) {
		s.ended++
		s.quota.left += p.round(min(p.share(s.report.Demand)*quotaBoost, 1))
	}
	switch outcome {
	case Served:
		s.health.success()
		p.hold += time.Duration(float64(now.Sub(placed.sent)-p.hold) * holdWeight)
	case NotRun:
		// It is full, or has lost what the list says it holds, whatever the
		// last report said. The next report counts again.
		s.report.At = now
		s.report.Running = max(s.report.Running, s.Slots+p.config.Overfill)
		s.report.Closed = p.config.Reported
	case Silent:
		if !placed.begun {
			s.first.add(now, now.Sub(placed.sent))
		}
		if now.Sub(s.progress) <= aliveFor {
			return false
		}
		return s.health.failure(now)
	case Broken:
		return s.health.failure(now)
	case Left:
	}
	return false
}
