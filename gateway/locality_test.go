package gateway

import (
	"testing"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/routing/admission"
	"github.com/snipestep/snipestep/routing/locality"
)

// Guards against a price of a request's bytes that leaves its response out, or that follows one odd
// caller.
func TestExpectedKilobytesFollowTheMeasuredBytesOfAToken(t *testing.T) {
	s := &service{}
	s.perTokenMilliBytes.Store(initialBytesPerToken * 1000)
	req := &request{service: s, body: make([]byte, 500), metadata: RequestMetadata{LengthHint: 100}, route: &directory.Route{Kind: directory.Streaming}}
	assert.Equal(t, req.expectedKilobytes(), 0.5+1.3+headerKilobytes)
	for range 1000 {
		s.observeStreamBytes(2_000, 100)
	}
	assert.Assert(t, req.expectedKilobytes() > 0.5+1.99+headerKilobytes)
	s.observeStreamBytes(2_000, 0)
	req.metadata = RequestMetadata{LengthHint: -5, OutputTokens: -7}
	assert.Equal(t, req.expectedKilobytes(), 0.5+headerKilobytes)
	var described admission.Request
	req.describeForLocality(&described)
	assert.Assert(t, described.Stream && described.Kilobytes > 0)
}

func TestLocalityMetricsNameFailureDomainAndReason(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	newMetrics(scope).recordLocality("m", admission.LocalityActivity{
		Sent: map[string]int{"a-1": 3}, SentKilobytes: map[string]float64{"a-1": 10.5}, Offered: map[string]float64{"a-1": 2.5},
		Kept: map[locality.Verdict]int{locality.KeptNoOffer: 4},
	})
	snapshot := scope.Snapshot()
	assert.Equal(t, snapshot.Counters()["requests_sent_away_total+failure_domain=a-1,service=m"].Value(), int64(3))
	assert.Equal(t, snapshot.Counters()["bytes_sent_away_total+failure_domain=a-1,service=m"].Value(), int64(10_500))
	assert.Equal(t, snapshot.Counters()["requests_kept_total+reason=no_offer,service=m"].Value(), int64(4))
	assert.Equal(t, snapshot.Gauges()["offered_slots+failure_domain=a-1,service=m"].Value(), 2.5)
}
