package connguard

import (
	"net/http"
	"net/textproto"
	"testing"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/telemetry"
)

// Guards against a broken response that no counter shows, or that of another fault.
func TestBrokenResponsesAreCountedByFault(t *testing.T) {
	for kind, meet := range map[BrokenKind]func() error{
		BrokenStatus:    func() error { return checkHead(0, nil) },
		BrokenFieldName: func() error { return checkHead(http.StatusOK, http.Header{"X Plain": {"1"}}) },
		BrokenFieldLine: func() error { return brokenLine(textproto.ProtocolError("no colon")) },
		BrokenEnd: func() error {
			conn := newConn(&scriptedConn{})
			conn.requests, conn.responseBytes = 1, 1
			_, err := conn.Read(nil)
			return err
		},
	} {
		scope := tally.NewTestScope("", nil)
		sampler := telemetry.NewSampler(scope)
		SampleBrokenResponses(sampler)
		sampler.Sample()
		before := faultCounts(scope)
		assert.Assert(t, meet() != nil)
		sampler.Sample()
		before[string(kind)]++
		assert.DeepEqual(t, faultCounts(scope), before)
	}
}

func faultCounts(scope tally.TestScope) map[string]int64 {
	counts := make(map[string]int64)
	for _, counter := range scope.Snapshot().Counters() {
		counts[counter.Tags()[telemetry.TagFault]] = counter.Value()
	}
	return counts
}
