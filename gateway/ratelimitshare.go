package gateway

import (
	"sync"
	"time"

	"github.com/snipestep/snipestep/routing/admission"
)

// rateLimitShareTTL is how long a share is used: agents confirm it every second while there
// are rate limits.
const rateLimitShareTTL = 10 * time.Second

// rateLimitShare is this entry's share in the rate limits of a service. It is safe for
// concurrent use.
type rateLimitShare struct {
	mu    sync.Mutex
	share admission.RateLimitShare
	setAt time.Time
	// demand is the smoothed number of requests per second of callers.
	demand float64
}

// set records the interval that an agent named.
func (r *rateLimitShare) set(now time.Time, lower, upper float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.share = admission.RateLimitShare{Lower: lower, Upper: upper, Known: true}
	r.setAt = now
}

// get returns the share, without an interval if no agent has confirmed one for
// rateLimitShareTTL. entries is the number of entries in load reports, 0 before the first.
func (r *rateLimitShare) get(now time.Time, entries int64) admission.RateLimitShare {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.setAt) > rateLimitShareTTL {
		r.share = admission.RateLimitShare{}
	}
	share := r.share
	share.Entries = initialEntryCount
	if entries > 0 {
		share.Entries = int(entries)
	}
	return share
}

// demandSampleWeight is the weight of the newest sample in the demand, with a sample every
// snapshotInterval.
const demandSampleWeight = 0.3

// addDemand adds a sample of the requests per second of callers and returns the smoothed
// demand.
func (r *rateLimitShare) addDemand(perSecond float64) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.demand == 0 {
		r.demand = perSecond
	}
	r.demand += demandSampleWeight * (perSecond - r.demand)
	return r.demand
}

// lastDemand returns the smoothed demand.
func (r *rateLimitShare) lastDemand() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.demand
}
