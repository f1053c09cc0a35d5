package admission

import "time"

// maxSlowdownAge is how long a figure of an endpoint's speed is used: on the known deployments
// speeds are drawn anew every 600 ms, and the protocol forbids the use of one after 1 s.
const maxSlowdownAge = 500 * time.Millisecond

// speed is the latest figure of how slow one incarnation of an endpoint is.
type speed struct {
	startedUnixMS int64
	// slowdown is the factor by which work takes longer than usual.
	slowdown float64
	at       time.Time
}

// RecordSlowdown records how much longer than usual work takes at an endpoint, as of a time. A
// slowdown of 0 is unknown and leaves the figure before it in force until that is too old.
func (p *Pool) RecordSlowdown(i Incarnation, at time.Time, slowdown float64) {
	if endpoint := p.incarnation(i); endpoint != nil {
		p.recordSlowdown(endpoint, at, slowdown)
	}
}

func (p *Pool) recordSlowdown(endpoint *endpointState, at time.Time, slowdown float64) {
	// The comparison is false for what is not a number, too.
	if !p.config.UseSlowdown || !(slowdown > 0) {
		return
	}
	if endpoint.speed.startedUnixMS == endpoint.StartedUnixMS && at.Before(endpoint.speed.at) {
		return
	}
	endpoint.speed = speed{startedUnixMS: endpoint.StartedUnixMS, slowdown: slowdown, at: at}
}

// recordReportedSlowdown records the slowdown in a report. The report was sent within its round
// trip, which contains the time for which a frozen process has not read it.
func (p *Pool) recordReportedSlowdown(endpoint *endpointState, report Report) {
	p.recordSlowdown(endpoint, report.ReceivedAt.Add(-report.RoundTrip), report.Slowdown)
}

// slowdown returns the factor by which work at the endpoint takes longer than usual now; 1 if it
// is unknown or not used.
func (s *endpointState) slowdown(now time.Time) float64 {
	if s.speed.slowdown == 0 || s.speed.startedUnixMS != s.StartedUnixMS || now.Sub(s.speed.at) > maxSlowdownAge {
		return 1
	}
	return s.speed.slowdown
}

// slownessDelay returns the delay of an endpoint that is slower than usual, in seconds, for the
// score.
func (p *Pool) slownessDelay(now time.Time, req *Request, endpoint *endpointState) float64 {
	switch {
	case p.config.UseSlowdown:
		return req.MeanFirstResponse.Seconds() * (endpoint.slowdown(now) - 1)
	case endpoint.slow(now, &p.config):
		return slowDelay
	default:
		return 0
	}
}
