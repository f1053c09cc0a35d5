package admission

import (
	"math"
	"time"

	"github.com/snipestep/snipestep/routing/sharedrate"
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

// inBucket returns the allowance for a bucket, whose debt has no bound: a limit is announced for
// as long as it lasts.
func (a rateAllowance) inBucket() sharedrate.Allowance {
	return sharedrate.Allowance{PerSecond: a.perSecond, Burst: a.burst, MaxDebt: math.Inf(1)}
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

// permitBurst is the least burst of a permit, in requests: one, and half a one by which less
// urgent requests wait for more urgent ones.
const permitBurst = 1.5

// rateAllowance returns this entry's part of a limit. A limit is divided into as many equal
// permits as its burst allows, since a part of less than one request is no use. The permits lie
// evenly on [0, 1), and belong to the entries in whose intervals they lie.
func (p *Pool) rateAllowance(limit *rateLimit) rateAllowance {
	perSecond := max(limit.notice.PerSecond, minRateLimit)
	burst := perSecond + rateLimitBurst
	if !p.rateLimitShare.Known {
		entries := float64(max(p.rateLimitShare.Entries, 1))
		return rateAllowance{perSecond: perSecond / entries, burst: max(burst/entries, 1)}
	}
	permits := min(math.Floor(burst/permitBurst), maxPermits)
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
	return limit.bucket.Level(now, p.rateAllowance(limit).inBucket()), true
}

// rateLimitAllows reports whether the rate limit of an endpoint permits a further request.
func (p *Pool) rateLimitAllows(now time.Time, endpoint *endpointState) bool {
	return p.rateLimitAllowsAfter(now, endpoint, 0)
}

// maxReserve is the most that rateLimitAllowsAfter reserves, in requests. Below permitBurst - 1,
// so that a token which no urgent request takes is used.
const maxReserve = 0.4

// rateLimitAllowsAfter reports whether the rate limit of an endpoint permits a further request
// while more urgent ones claim a part of the capacity, from 0 to 1. Tokens come one at a time:
// without a reserve for urgent requests, whichever request comes next would take each.
func (p *Pool) rateLimitAllowsAfter(now time.Time, endpoint *endpointState, claimed float64) bool {
	tokens, ok := p.limitedTokens(now, endpoint)
	if !ok {
		return true
	}
	// A bucket without room for a reserve has none.
	needed := min(1+maxReserve*claimed, p.rateAllowance(p.rateLimitOf(endpoint)).burst)
	return tokens >= max(needed, 1)
}

// urgentClaim returns which part of the capacity requests of ranks more urgent than a given one
// claim, from 0 to 1. It is 0 without rate limits.
func (p *Pool) urgentClaim(now time.Time, rank int) float64 {
	if len(p.rateLimits) == 0 {
		return 0
	}
	arrivals := 0.0
	for other, rate := range p.arrivalsByRank {
		if other < rank {
			arrivals += rate.perSecond(now)
		}
	}
	if arrivals == 0 {
		return 0
	}
	return min(arrivals/p.slotReleaseRate(now, nil), 1)
}

// takeToken counts a request that is sent to an endpoint.
func (p *Pool) takeToken(now time.Time, endpoint *endpointState) {
	if limit := p.rateLimitOf(endpoint); limit != nil {
		limit.bucket.Take(now, p.rateAllowance(limit).inBucket())
	}
}
