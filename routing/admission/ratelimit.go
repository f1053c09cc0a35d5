package admission

import "time"

// RateLimitNotice says whether an endpoint limits the requests per second that it takes
// from all entries together.
type RateLimitNotice struct {
	// Limited says that the endpoint announces a limit, of PerSecond requests.
	Limited   bool
	PerSecond float64
	// At is the time for which the notice holds. A response proves a limit until its
	// arrival, but the absence of one only from when its request was sent: responses
	// overtake each other.
	At time.Time
}

// supersedes reports whether a notice is newer than another. Of two for the same time the
// one with a limit prevails.
func (n RateLimitNotice) supersedes(other RateLimitNotice) bool {
	if n.At.Equal(other.At) {
		return n.Limited && !other.Limited
	}
	return n.At.After(other.At)
}

// rateLimit is the rate limit of one incarnation of an endpoint.
type rateLimit struct {
	startedUnixMS int64
	notice        RateLimitNotice
	// tokens is how many requests this entry may send now, as of refilledAt.
	tokens     float64
	refilledAt time.Time
}

// rateLimitRetention is how long a notice is kept that no longer matters: an endpoint may
// return to the endpoint list after an outage of the store, and an older notice may arrive
// after the one that lifted the limit.
const rateLimitRetention = time.Minute

// rateLimitOf returns the rate limit of the present incarnation of an endpoint, nil if none
// was announced.
func (p *Pool) rateLimitOf(endpoint *endpointState) *rateLimit {
	limit := p.rateLimits[endpoint.ID]
	if limit == nil || limit.startedUnixMS != endpoint.StartedUnixMS {
		return nil
	}
	return limit
}

// RecordRateLimit records a notice of an endpoint's rate limit. It reports whether the
// limit changed, and the one before.
func (p *Pool) RecordRateLimit(endpointID string, notice RateLimitNotice) (previous RateLimitNotice, changed bool) {
	endpoint := p.endpoints[endpointID]
	if endpoint == nil {
		return previous, false
	}
	limit := p.rateLimitOf(endpoint)
	if limit == nil {
		if !notice.Limited {
			return previous, false
		}
		limit = &rateLimit{startedUnixMS: endpoint.StartedUnixMS}
		p.rateLimits[endpointID] = limit
	}
	previous = limit.notice
	if !notice.supersedes(previous) {
		return previous, false
	}
	if notice.Limited && !previous.Limited {
		// Entries that learn of a limit at the same time send at different times.
		limit.tokens = p.config.Rand.Float64()
		limit.refilledAt = notice.At
	}
	limit.notice = notice
	return previous, notice.Limited != previous.Limited || notice.PerSecond != previous.PerSecond
}

// HasRateLimits reports whether any endpoint has a rate limit, listed or not.
func (p *Pool) HasRateLimits() bool {
	for _, limit := range p.rateLimits {
		if limit.notice.Limited {
			return true
		}
	}
	return false
}

// RateLimited returns the number of listed endpoints with a rate limit.
func (p *Pool) RateLimited() int {
	count := 0
	for _, endpoint := range p.endpoints {
		if limit := p.rateLimitOf(endpoint); limit != nil && limit.notice.Limited {
			count++
		}
	}
	return count
}

// expireRateLimits drops old notices that no longer matter: of endpoints that are not
// listed, and of lifted limits.
func (p *Pool) expireRateLimits(now time.Time) {
	for id, limit := range p.rateLimits {
		inUse := p.endpoints[id] != nil && limit.notice.Limited
		if !inUse && now.Sub(limit.notice.At) > rateLimitRetention {
			delete(p.rateLimits, id)
		}
	}
}
