package admission

import (
	"math"
	"time"
)

const (
	// minRateLimit is used for lower limits, in requests per second of all entries
	// together: without any request nobody would learn that the limit has ended.
	minRateLimit = 0.1
	// rateLimitBurst is how many requests all entries together may send at once, beside
	// those of one second.
	rateLimitBurst = 3.0
)

// rateAllowance is this entry's part of a rate limit.
type rateAllowance struct {
	perSecond float64
	// burst is how many requests may be sent at once after a pause.
	burst float64
}

// RateLimitPlace is the place of an entry among those that share rate limits.
type RateLimitPlace struct {
	Entries int
	// Position is the position of this entry among them, from 0; valid if Known.
	Position int
	Known    bool
}

// rateAllowance returns this entry's part of a limit. Entries have equal parts, of at least
// one request at once. If these would exceed the burst of all entries together, only as many
// entries have parts as it allows.
func (p *Pool) rateAllowance(limit *rateLimit) rateAllowance {
	place := p.rateLimitPlace
	perSecond := max(limit.notice.PerSecond, minRateLimit)
	sharers := float64(max(place.Entries, 1))
	if place.Known && perSecond+rateLimitBurst < sharers {
		sharers = math.Floor(perSecond + rateLimitBurst)
		entries := uint64(place.Entries)
		if (uint64(place.Position)+limit.offset%entries)%entries >= uint64(sharers) {
			return rateAllowance{}
		}
	}
	return rateAllowance{
		perSecond: perSecond / sharers,
		burst:     max((perSecond+rateLimitBurst)/sharers, 1),
	}
}

// limitedRate returns how many requests per second this entry may send to an endpoint; ok
// is false for an endpoint without a rate limit.
func (p *Pool) limitedRate(endpoint *endpointState) (perSecond float64, ok bool) {
	limit := p.rateLimitOf(endpoint)
	if limit == nil || !limit.notice.Limited {
		return 0, false
	}
	return p.rateAllowance(limit).perSecond, true
}

// limitedTokens returns how many requests this entry may send to an endpoint now; ok is
// false for an endpoint without a rate limit.
func (p *Pool) limitedTokens(now time.Time, endpoint *endpointState) (tokens float64, ok bool) {
	limit := p.rateLimitOf(endpoint)
	if limit == nil || !limit.notice.Limited {
		return 0, false
	}
	allowance := p.rateAllowance(limit)
	elapsed := max(now.Sub(limit.refilledAt), 0)
	limit.tokens = min(limit.tokens+elapsed.Seconds()*allowance.perSecond, allowance.burst)
	limit.refilledAt = now
	return limit.tokens, true
}

// rateLimitAllows reports whether the rate limit of an endpoint permits a further request.
func (p *Pool) rateLimitAllows(now time.Time, endpoint *endpointState) bool {
	tokens, ok := p.limitedTokens(now, endpoint)
	return !ok || tokens >= 1
}

// takeToken counts a request that is sent to an endpoint.
func (p *Pool) takeToken(endpoint *endpointState) {
	if limit := p.rateLimitOf(endpoint); limit != nil {
		limit.tokens--
	}
}
