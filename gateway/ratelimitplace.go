package gateway

import (
	"sync"
	"time"

	"github.com/snipestep/snipestep/routing/admission"
)

// rateLimitPlace is this entry's place among the entries that share rate limits. It is safe
// for concurrent use.
type rateLimitPlace struct {
	mu    sync.Mutex
	place admission.RateLimitPlace
	setAt time.Time
}

// set records the place that an agent named.
func (r *rateLimitPlace) set(now time.Time, place admission.RateLimitPlace) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.place = place
	r.setAt = now
}

// expire forgets a place that no agent has confirmed for rateLimitPlaceTTL.
func (r *rateLimitPlace) expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.setAt) > rateLimitPlaceTTL {
		r.place = admission.RateLimitPlace{}
	}
}

// get returns the place, without a position while none is known. reported is the number of
// entries in load reports, 0 before the first.
func (r *rateLimitPlace) get(reported int) admission.RateLimitPlace {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.place.Known:
		return r.place
	case reported > 0:
		return admission.RateLimitPlace{Entries: reported}
	default:
		return admission.RateLimitPlace{Entries: initialEntryCount}
	}
}
