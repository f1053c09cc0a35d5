package admission

import "time"

// unservableWait is the expected wait of a request that no endpoint can serve. Nothing tells when
// one will be in use again, so it is the shortest time after which callers are asked to return.
const unservableWait = 300 * time.Millisecond

// unservable reports whether a request would wait for endpoints none of which is likely to take
// it: none is eligible, and none only rests or is cold, after which it is. Such a request is refused at once
// while endpoints are evacuated, as nothing tells when they will be in use again, and if it may use
// some regions only. A resumed request waits, since its caller has a part of the response.
func (p *Pool) unservable(now time.Time, req *Request) bool {
	if req.Resumed || (!p.evacuating && req.Regions == nil) {
		return false
	}
	for _, endpoint := range p.endpoints {
		if !req.Regions.Contains(endpoint.Region) {
			continue
		}
		switch p.unavailability(now, endpoint) {
		case "", UnavailableResting, UnavailableCold:
			return false
		}
	}
	return true
}

// RefuseUnservable removes the waiting requests that are to be refused at once, and returns them.
func (p *Pool) RefuseUnservable(now time.Time) []*Request {
	var refused []*Request
	stillWaiting := p.waiting[:0]
	for _, req := range p.waiting {
		if p.unservable(now, req) {
			refused = append(refused, req)
		} else {
			stillWaiting = append(stillWaiting, req)
		}
	}
	p.waiting = stillWaiting
	return refused
}
