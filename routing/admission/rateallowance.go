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

// RateLimitShare is the share of an entry in the rate limits of a service's endpoints.
type RateLimitShare struct {
	// Lower and Upper bound the entry's interval of [0, 1), by its part of the demand of
	// all entries, whose intervals are disjoint; valid if Known.
	Lower, Upper float64
	Known        bool
	// Entries is the number of entries. Without an interval they have equal shares.
	Entries int
}

// rateAllowance returns this entry's part of a limit. A limit is divided into as many equal
// permits as the burst has whole requests, since a part of less than one request is no use. The
// permits lie evenly on [0, 1), and belong to the entries in whose intervals they lie.
func (p *Pool) rateAllowance(limit *rateLimit) rateAllowance {
	perSecond := max(limit.notice.PerSecond, minRateLimit)
	burst := perSecond + rateLimitBurst
	if !p.rateLimitShare.Known {
		entries := float64(max(p.rateLimitShare.Entries, 1))
		return rateAllowance{perSecond: perSecond / entries, burst: max(burst/entries, 1)}
	}
	permits := min(math.Floor(burst), maxPermits)
	own := p.rateLimitShare.permits(permits, limit.offset)
	return rateAllowance{perSecond: perSecond * own / permits, burst: burst * own / permits}
}

// maxPermits is the number of permits of high limits.
const maxPermits = 1000

// permits returns how many of the permits at (i + offset) / total, for i from 0, lie in the
// interval. offset is from 0 up to 1.
func (s RateLimitShare) permits(total, offset float64) float64 {
	return math.Ceil(s.Upper*total-offset) - math.Ceil(s.Lower*total-offset)
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
