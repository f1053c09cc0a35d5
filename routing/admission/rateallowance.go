package admission

import "time"

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

// rateAllowance returns this entry's part of a limit: all entries have equal ones.
func (p *Pool) rateAllowance(limit *rateLimit) rateAllowance {
	perSecond := max(limit.notice.PerSecond, minRateLimit)
	sharers := float64(p.sharers)
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
