package admission

import "time"

// takeBack undoes the start of a request that was not sent: its slot, token, quota and usage are
// free again, and nothing counts it as ended. What was set anew since the start is left as it is.
func (p *Pool) takeBack(now time.Time, endpoint *endpointState, requestID uint64, req inFlightRequest) {
	delete(endpoint.inFlight, requestID)
	if !endpoint.report.ReceivedAt.After(req.sentAt) {
		endpoint.quota.remaining++
	}
	if limit := p.rateLimitOf(endpoint); limit != nil && !limit.notice.At.After(req.sentAt) {
		limit.bucket.GiveBack(1)
	}
	if endpoint.cold != nil {
		endpoint.cold.bucket.GiveBack(req.cold.taken)
	}
	if p.usageDecayedAt.After(req.sentAt) || now.Sub(p.usageDecayedAt) >= usageHalfLife {
		return // A part of it has decayed.
	}
	if left := p.usage[req.organisation] - req.tokens; left >= 1 {
		p.usage[req.organisation] = left
	} else {
		delete(p.usage, req.organisation)
	}
}
