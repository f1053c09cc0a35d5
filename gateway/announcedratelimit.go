package gateway

import (
	"time"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/routing/admission"
)

// AnnouncedRateLimit is what a response says about the rate limit of its endpoint. The zero
// value says that there is none.
type AnnouncedRateLimit struct {
	// Unknown says that the response does not tell whether there is a limit.
	Unknown bool
	// Limited says that the endpoint takes at most PerSecond requests from all entries
	// together.
	Limited   bool
	PerSecond float64
}

// recordRateLimit records what a response says about the rate limit of its endpoint. belongs
// says that the response is to the request of the attempt: one to another request, sent
// nobody knows when, lifts no limit.
func (g *Gateway) recordRateLimit(service *service, attempt *endpointAttempt, belongs bool) {
	announced := attempt.metadata.RateLimit
	lifts := belongs && service.hasRateLimits.Load()
	if announced.Unknown || !announced.Limited && !lifts {
		return
	}
	notice := admission.RateLimitNotice{Limited: announced.Limited, PerSecond: announced.PerSecond, At: attempt.sentAt}
	if announced.Limited {
		notice.At = time.Now()
	}
	if g.applyRateLimit(service, attempt.endpoint, notice, sourceResponse) {
		g.signalRateLimitNews()
	}
}

// The sources of notices of rate limits in the log.
const (
	sourceResponse = "response"
	sourceEntries  = "other entries"
)

// applyRateLimit applies a notice of an endpoint's rate limit, and reports whether the
// limit changed.
func (g *Gateway) applyRateLimit(service *service, endpoint *directory.Endpoint, notice admission.RateLimitNotice, source string) (changed bool) {
	var previous admission.RateLimitNotice
	limited := 0
	service.gate.Update(func(p *admission.Pool) {
		if source == sourceResponse {
			previous, changed = p.RecordRateLimit(incarnationOf(endpoint), notice)
		} else {
			previous, changed = p.RecordReportedRateLimit(incarnationOf(endpoint), notice)
		}
		limited = p.RateLimited()
		service.hasRateLimits.Store(p.HasRateLimits())
		service.knowsRateLimits.Store(len(p.RateLimitNotices()) > 0)
	})
	if !changed {
		return false
	}
	g.metrics.updateRateLimited(service.name, limited)
	fields := []any{"endpoint", endpoint.ID, "service", service.name, "source", source, "age_ms", time.Since(notice.At).Milliseconds()}
	if !notice.Limited {
		g.deps.Logger.Info("rate limit lifted", append(fields, "old_per_second", previous.PerSecond)...)
		return true
	}
	g.deps.Logger.Info("rate limit announced", append(fields, "per_second", notice.PerSecond, "old_per_second", previous.PerSecond)...)
	return true
}
