package strikes

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/loadreport"
	"github.com/snipestep/snipestep/routing"
)

// testClock is a clock that tests set.
type testClock struct {
	now time.Time
}

func newTestRegister(config routing.QuarantineConfig) (*Register, *testClock) {
	clock := &testClock{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	return NewRegister(config, func() time.Time { return clock.now }), clock
}

func TestCrashesAtSeveralEntriesQuarantineARequestEverywhere(t *testing.T) {
	first, _ := newTestRegister(routing.QuarantineConfig{})
	second, _ := newTestRegister(routing.QuarantineConfig{})
	news, verdict := first.Strike(7, 100, false)
	assert.Assert(t, !verdict.Refused)
	_, quarantined := second.Merge(news)
	assert.Equal(t, len(quarantined), 0)

	news, verdict = second.Strike(7, 101, false)
	assert.Assert(t, verdict.Refused)
	_, quarantined = first.Merge(news)
	assert.Equal(t, len(quarantined), 1)
	assert.DeepEqual(t, quarantined[0].Crashes, []string{CrashText(100), CrashText(101)})
	assert.Assert(t, first.Verdict(7).Refused && second.Verdict(7).Refused)
	assert.Assert(t, !first.Verdict(8).Refused)
	assert.Equal(t, first.Quarantined(), 1)
}

// Guards against datagrams that come twice, by several agents, and count each time.
func TestStrikesThatComeAgainAreNoNews(t *testing.T) {
	r, clock := newTestRegister(routing.QuarantineConfig{})
	received := loadreport.Strikes{{Fingerprint: 7, Crash: 100}}
	news, _ := r.Merge(received)
	assert.Equal(t, len(news), 1)
	clock.now = clock.now.Add(time.Second)
	received[0].Age = time.Second
	news, quarantined := r.Merge(received)
	assert.Equal(t, len(news)+len(quarantined), 0)
	news, verdict := r.Strike(7, 100, false)
	assert.Equal(t, len(news), 0)
	assert.Assert(t, !verdict.Refused)
}

// Guards against innocents that stay suspects at the entries that did not serve them.
func TestAbsolutionReachesOtherProcesses(t *testing.T) {
	first, _ := newTestRegister(routing.QuarantineConfig{})
	second, _ := newTestRegister(routing.QuarantineConfig{})
	strike, _ := first.Strike(7, 100, false)
	second.Merge(strike)
	absolved := second.Absolve(7)
	assert.Equal(t, len(absolved), 1)
	news, _ := first.Merge(absolved)
	assert.Equal(t, len(news), 1)
	assert.Equal(t, len(first.Verdict(7).Crashes), 0)
	news, _ = first.Merge(absolved)
	assert.Equal(t, len(news), 0, "an absolution that comes again is no news")
	news, _ = first.Merge(strike)
	assert.Equal(t, len(news), 0, "a strike that arrives after its absolution is void")
}

// Guards against a process that starts and learns the newest suspects only, while a
// request in quarantine is older.
func TestSnapshotStartsWithTheQuarantined(t *testing.T) {
	r, clock := newTestRegister(routing.QuarantineConfig{})
	r.Strike(7, 100, false)
	r.Strike(7, 101, false)
	for fingerprint := range uint64(2 * loadreport.MaxStrikes) {
		clock.now = clock.now.Add(time.Millisecond)
		r.Strike(1000+fingerprint, 102, false)
	}
	snapshot := r.Snapshot()
	assert.Equal(t, len(snapshot), loadreport.MaxStrikes)
	started, _ := newTestRegister(routing.QuarantineConfig{})
	_, quarantined := started.Merge(snapshot)
	assert.Equal(t, len(quarantined), 1)
	assert.Assert(t, started.Verdict(7).Refused)
}

// Guards against a flood of distinct requests at crashes that grows the table without
// bound or drops the requests in quarantine from it.
func TestFloodOfSuspectsKeepsTheQuarantined(t *testing.T) {
	const limit = 50
	r, clock := newTestRegister(routing.QuarantineConfig{MaxFingerprints: limit})
	r.Strike(7, 100, false)
	r.Strike(7, 101, false)
	for fingerprint := range uint64(10 * limit) {
		clock.now = clock.now.Add(time.Millisecond)
		r.Strike(1000+fingerprint, 102, false)
	}
	assert.Assert(t, r.Verdict(7).Refused)
	assert.Assert(t, r.quarantine.Len() <= limit)
}

// sentTo returns strikes as another process receives them.
func sentTo(t *testing.T, sent loadreport.Strikes) loadreport.Strikes {
	t.Helper()
	received, err := loadreport.DecodeStrikes(nil, sent.Encode(nil))
	assert.NilError(t, err)
	return received
}

// Guards against an entry that starts minutes after the crashes and runs a quarantined
// request: each of its strikes alone has expired by then.
func TestQuarantineIsLearntAfterItsSingleStrikesWouldHaveExpired(t *testing.T) {
	r, clock := newTestRegister(routing.QuarantineConfig{})
	for crash := range uint64(3) {
		r.Strike(7, 100+crash, false)
	}
	clock.now = clock.now.Add(3 * time.Minute)
	assert.Assert(t, r.Verdict(7).Refused)
	started := NewRegister(routing.QuarantineConfig{}, func() time.Time { return clock.now })
	news, quarantined := started.Merge(sentTo(t, r.Snapshot()))
	assert.Equal(t, len(news), 3, "an agent passes on what is new to it")
	assert.Equal(t, len(quarantined), 1)
	assert.Assert(t, started.Verdict(7).Refused)
}

// Guards against a quarantine that begins anew at an entry that knows of the absolution,
// from one that missed it.
func TestAbsolutionOutlivesTheQuarantineElsewhere(t *testing.T) {
	missed, clock := newTestRegister(routing.QuarantineConfig{})
	for crash := range uint64(3) {
		missed.Strike(7, 100+crash, false)
	}
	clock.now = clock.now.Add(3 * time.Minute)
	knows := NewRegister(routing.QuarantineConfig{}, func() time.Time { return clock.now })
	knows.Merge(sentTo(t, missed.Snapshot()))
	assert.Equal(t, len(knows.Absolve(7)), 3)
	for range 6 {
		clock.now = clock.now.Add(time.Minute)
		knows.Strike(8, 200, false)
		knows.Absolve(8)
		news, quarantined := knows.Merge(sentTo(t, missed.Snapshot()))
		assert.Equal(t, len(news)+len(quarantined), 0)
		assert.Assert(t, !knows.Verdict(7).Refused)
	}
}

// Guards against a sound request in quarantine: it was running at two crashes, but its
// first strike had expired at the second one.
func TestExpiredStrikeDoesNotCountWithALaterOneFromElsewhere(t *testing.T) {
	first, clock := newTestRegister(routing.QuarantineConfig{})
	second := NewRegister(routing.QuarantineConfig{}, func() time.Time { return clock.now })
	first.Strike(7, 100, false)
	clock.now = clock.now.Add(5 * time.Minute)
	old := first.Snapshot()
	later, _ := second.Strike(7, 101, false)
	second.Merge(sentTo(t, old))
	assert.Assert(t, !second.Verdict(7).Refused)
	_, quarantined := first.Merge(sentTo(t, append(old, later...)))
	assert.Equal(t, len(quarantined), 0)
	assert.DeepEqual(t, first.Verdict(7).Crashes, []string{CrashText(101)})
}
