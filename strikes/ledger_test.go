package strikes

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/loadreport"
	"github.com/snipestep/snipestep/routing"
)

func newTestLedger() *Ledger {
	requests, _ := newTestRegister(routing.QuarantineConfig{})
	parts := NewPartRegister(routing.QuarantineConfig{QuarantineStrikes: 3}, requests.now)
	return &Ledger{Requests: requests, Parts: parts}
}

// Guards against strikes against a part that count against a request, or the other way.
func TestPartsAndRequestsAreToldApart(t *testing.T) {
	first, second := newTestLedger(), newTestLedger()
	for crash := range uint64(3) {
		news, _ := first.Parts.Strike(7, crash, false)
		second.Merge(news)
	}
	assert.Assert(t, second.Parts.Verdict(7).Refused && second.Parts.Verdict(7).IsPart)
	assert.Equal(t, len(second.Requests.Verdict(7).Crashes), 0)
	assert.Equal(t, second.Quarantined(), 1)
	second.Merge(first.Parts.Absolve(7))
	assert.Equal(t, second.Quarantined(), 0)
}

// Guards against a snapshot that is full of requests, or of parts, and lacks the others.
func TestSnapshotHoldsPartsAndRequests(t *testing.T) {
	l := newTestLedger()
	for i := range uint64(2 * loadreport.MaxStrikes) {
		l.Parts.Strike(i+1, 1, false)
		l.Requests.Strike(i+1, 1, false)
	}
	parts := 0
	snapshot := l.Snapshot()
	for _, strike := range snapshot {
		if strike.Part {
			parts++
		}
	}
	assert.Equal(t, len(snapshot), loadreport.MaxStrikes)
	assert.Equal(t, parts, loadreport.MaxStrikes/2)

	l = newTestLedger()
	for i := range uint64(2 * loadreport.MaxStrikes) {
		l.Parts.Strike(i+1, 1, false)
	}
	l.Requests.Strike(1, 1, false)
	assert.Equal(t, len(l.Snapshot()), loadreport.MaxStrikes)
}
