package admission

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/snipestep/snipestep/routing/sharedrate"
)

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

// limitTolerance is the relative difference up to which two limits count as the same, so that
// one that changes a little with each response is not passed on each time.
const limitTolerance = 0.1

// SameLimit reports whether two notices say about the same.
func (n RateLimitNotice) SameLimit(other RateLimitNotice) bool {
	if n.Limited != other.Limited {
		return false
	}
	return math.Abs(n.PerSecond-other.PerSecond) <= limitTolerance*max(n.PerSecond, other.PerSecond)
}

// reportDelay bounds the usual delay of notices between processes, by which they look newer
// than they are.
const reportDelay = time.Second

// ReplacesReported reports whether a notice that another process reported replaces a known
// one. A notice that says the same has to be newer by more than reportDelay, else it would
// look newer each time that it is passed on.
func (n RateLimitNotice) ReplacesReported(known RateLimitNotice) bool {
	if n.SameLimit(known) {
		return n.At.Sub(known.At) > reportDelay
	}
	return n.supersedes(known)
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
	// offset shifts the permits of this endpoint, from 0 up to 1, so that endpoints with
	// low limits get their requests from different entries.
	offset float64
	// bucket holds the requests that this entry may send.
	bucket sharedrate.Bucket
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

// RecordRateLimit records what a response said about the rate limit of its endpoint. It
// reports whether the limit changed, and the one before.
func (p *Pool) RecordRateLimit(i Incarnation, notice RateLimitNotice) (previous RateLimitNotice, changed bool) {
	return p.recordRateLimit(i, notice, RateLimitNotice.supersedes)
}

// RecordReportedRateLimit is RecordRateLimit for what another process reported.
func (p *Pool) RecordReportedRateLimit(i Incarnation, notice RateLimitNotice) (previous RateLimitNotice, changed bool) {
	return p.recordRateLimit(i, notice, RateLimitNotice.ReplacesReported)
}

// recordRateLimit records a notice if it replaces the known one.
func (p *Pool) recordRateLimit(i Incarnation, notice RateLimitNotice, replaces func(notice, known RateLimitNotice) bool) (previous RateLimitNotice, changed bool) {
	endpoint := p.incarnation(i)
	if endpoint == nil {
		return previous, false
	}
	limit := p.rateLimitOf(endpoint)
	if limit == nil {
		if !notice.Limited {
			return previous, false
		}
		limit = &rateLimit{startedUnixMS: endpoint.StartedUnixMS, offset: permitOffset(i.ID)}
		p.rateLimits[i.ID] = limit
	}
	previous = limit.notice
	if !replaces(notice, previous) {
		return previous, false
	}
	if notice.Limited && !previous.Limited {
		// Entries that learn of a limit at the same time send at different times.
		limit.bucket = sharedrate.NewBucket(notice.At, p.config.Rand.Float64())
	}
	limit.notice = notice
	return previous, !notice.SameLimit(previous)
}

// permitOffset returns a number from 0 up to 1 that every entry derives from an ID.
func permitOffset(endpointID string) float64 {
	return float64(xxhash.Sum64String(endpointID)>>32) / (1 << 32)
}

// RateLimitNotices returns what is known of the rate limits of listed endpoints, by ID: of
// those that have one, and for some time of those that had.
func (p *Pool) RateLimitNotices() map[string]RateLimitNotice {
	notices := make(map[string]RateLimitNotice)
	for id, endpoint := range p.endpoints {
		if limit := p.rateLimitOf(endpoint); limit != nil {
			notices[id] = limit.notice
		}
	}
	return notices
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

// expireRateLimits drops old notices that no longer matter: of incarnations that are not
// listed, and of lifted limits.
func (p *Pool) expireRateLimits(now time.Time) {
	for id, limit := range p.rateLimits {
		inUse := limit.notice.Limited && p.incarnation(Incarnation{ID: id, StartedUnixMS: limit.startedUnixMS}) != nil
		if !inUse && now.Sub(limit.notice.At) > rateLimitRetention {
			delete(p.rateLimits, id)
		}
	}
}
