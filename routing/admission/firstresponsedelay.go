package admission

import (
	"math"
	"time"
)

// maxPrefillBacklog bounds the prefill time of the prompts queued at an endpoint: an engine
// without requests that starts to accept them would otherwise get as many prompts at once as it
// has slots, and respond to none for a second.
const maxPrefillBacklog = 150 * time.Millisecond

// prefillBacklog returns the prefill time of this entry's requests without a
// response, if entryCount entries have as many each.
func (s *endpointState) prefillBacklog(config *Config, entryCount float64) time.Duration {
	if config.PrefillTokensPerSecond <= 0 {
		return 0
	}
	tokens := 0.0
	for _, req := range s.inFlight {
		if !req.responseStarted {
			tokens += req.promptTokens
		}
	}
	return time.Duration(tokens * entryCount / config.PrefillTokensPerSecond * float64(time.Second))
}

// normalFirstResponse is the maximum time to the first part of a response from an
// endpoint with free slots over an idle link: a pass, a prefill and the round trip.
const normalFirstResponse = 300 * time.Millisecond

const (
	// firstResponseWeight is the weight of the newest sample in the mean.
	firstResponseWeight = 0.5
	// firstResponseHalfLife is the time in which the mean decays by half, so that
	// an endpoint without requests is tried again after a few seconds.
	firstResponseHalfLife = time.Second
)

// firstResponseDelay measures how much longer than normal the first parts of
// responses from an endpoint take. An endpoint that makes progress on older
// requests may be unreachable for new ones, as behind a link that has become slow.
type firstResponseDelay struct {
	mean      time.Duration // Beyond normalFirstResponse, as of sampledAt.
	sampledAt time.Time
}

// decayedMean returns the mean, decayed since the last sample.
func (f *firstResponseDelay) decayedMean(now time.Time) time.Duration {
	if f.mean == 0 {
		return 0
	}
	return time.Duration(float64(f.mean) * math.Exp2(-now.Sub(f.sampledAt).Seconds()/firstResponseHalfLife.Seconds()))
}

// add adds a sample: a request whose response started after took, or did not start
// within it.
func (f *firstResponseDelay) add(now time.Time, took time.Duration) {
	excess := max(took-normalFirstResponse, 0)
	f.mean = time.Duration((1-firstResponseWeight)*float64(f.decayedMean(now)) + firstResponseWeight*float64(excess))
	f.sampledAt = now
}

// expectedFirstResponseDelay estimates how much longer than normal the first part
// of a new response will take: as long as the last ones did, or as this entry's
// oldest request has been waiting.
func (s *endpointState) expectedFirstResponseDelay(now time.Time) time.Duration {
	var oldest time.Duration
	for _, req := range s.inFlight {
		if !req.responseStarted {
			oldest = max(oldest, now.Sub(req.sentAt))
		}
	}
	return max(oldest-normalFirstResponse, s.firstResponse.decayedMean(now))
}

// RecordProgress records that an endpoint sent a part of the response to a request,
// and reports whether it was the first part.
func (p *Pool) RecordProgress(now time.Time, endpointID string, requestID uint64) (first bool) {
	endpoint := p.endpoints[endpointID]
	if endpoint == nil {
		return false
	}
	endpoint.lastProgress = now
	endpoint.respondedAt = now
	req, ok := endpoint.inFlight[requestID]
	if !ok || req.responseStarted {
		return false
	}
	req.responseStarted = true
	p.endProbing(endpoint, req.sentAt)
	endpoint.inFlight[requestID] = req
	endpoint.firstResponse.add(now, now.Sub(req.sentAt))
	return true
}
