package admission

import (
	"time"

	"github.com/snipestep/snipestep/core"
)

// rest is the pause for which one incarnation of an endpoint has asked this entry. After it
// the entry sends single requests as probes until one is answered.
type rest struct {
	startedUnixMS int64
	until         time.Time
	// suspended is Pool.suspended when until was set.
	suspended time.Duration
	probing   bool
}

// restOf returns the rest of the present incarnation of an endpoint, nil without one.
func (p *Pool) restOf(endpoint *endpointState) *rest {
	r := p.rests[endpoint.ID]
	if r == nil || r.startedUnixMS != endpoint.StartedUnixMS {
		return nil
	}
	return r
}

// restEnd returns when a rest ends. Time for which the machine was suspended counts, though
// the pool's clock stands still then.
func (p *Pool) restEnd(r *rest) time.Time {
	return r.until.Add(r.suspended - p.suspended)
}

// Rest records that an endpoint wants no requests until a time. The latest end of several
// holds: responses overtake each other. It reports whether the endpoint was not resting
// before.
func (p *Pool) Rest(now time.Time, i Incarnation, until time.Time) (began bool) {
	endpoint := p.incarnation(i)
	if endpoint == nil || !until.After(now) {
		return false
	}
	known := p.restOf(endpoint)
	began = known == nil || !now.Before(p.restEnd(known))
	if known != nil && !until.After(p.restEnd(known)) {
		return false
	}
	p.rests[i.ID] = &rest{startedUnixMS: endpoint.StartedUnixMS, until: until, suspended: p.suspended, probing: true}
	return began
}

// SetSuspended sets how long the machine has been suspended since the process started.
func (p *Pool) SetSuspended(total time.Duration) {
	p.suspended = total
}

// Resting reports whether an endpoint wants no requests now.
func (p *Pool) Resting(now time.Time, endpointID string) bool {
	endpoint := p.endpoints[endpointID]
	if endpoint == nil {
		return false
	}
	r := p.restOf(endpoint)
	return r != nil && now.Before(p.restEnd(r))
}

// restAllows reports whether an endpoint may get a request: it does not rest, and no probe
// is on its way.
func (p *Pool) restAllows(now time.Time, endpoint *endpointState) bool {
	r := p.restOf(endpoint)
	if r == nil {
		return true
	}
	end := p.restEnd(r)
	if now.Before(end) {
		return false
	}
	if !r.probing {
		return true
	}
	for _, req := range endpoint.inFlight {
		if !req.sentAt.Before(end) {
			return false
		}
	}
	return true
}

// endProbing records that an endpoint answered a request that was sent at a time.
func (p *Pool) endProbing(endpoint *endpointState, sentAt time.Time) {
	if r := p.restOf(endpoint); r != nil && !sentAt.Before(p.restEnd(r)) {
		r.probing = false
	}
}

// earliestRestEnd returns the time until the first endpoint of a set of regions ends its rest;
// ok is false if none rests.
func (p *Pool) earliestRestEnd(now time.Time, regions *core.RegionSet) (wait time.Duration, ok bool) {
	for _, endpoint := range p.endpoints {
		if !regions.Contains(endpoint.Region) || p.unavailability(now, endpoint) != UnavailableResting {
			continue
		}
		left := max(p.restEnd(p.restOf(endpoint)).Sub(now), 0)
		if !ok || left < wait {
			wait, ok = left, true
		}
	}
	return wait, ok
}

// expireRests drops the rests that are over and whose incarnations are no longer listed.
func (p *Pool) expireRests(now time.Time) {
	for id, r := range p.rests {
		listed := p.incarnation(Incarnation{ID: id, StartedUnixMS: r.startedUnixMS}) != nil
		if !listed && !now.Before(p.restEnd(r)) {
			delete(p.rests, id)
		}
	}
}
