package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func strikeAt(crash string, at time.Time) Strike {
	return Strike{Fingerprint: 1, Crash: crash, At: at}
}

func TestQuarantineAtTheSecondCrash(t *testing.T) {
	q := NewQuarantine(QuarantineConfig{})
	assert.Assert(t, !q.IsSuspect(epoch, 1))
	assert.Assert(t, q.RecordStrike(epoch, strikeAt("crash-1", epoch)))
	assert.Assert(t, !q.RecordStrike(epoch, strikeAt("crash-1", epoch)), "the same crash counts once")
	_, refused := q.Refused(epoch, 1)
	assert.Assert(t, q.IsSuspect(epoch, 1) && !refused)
	assert.Assert(t, q.RecordStrike(epoch, strikeAt("crash-2", epoch)))
	remaining, refused := q.Refused(epoch, 1)
	assert.Assert(t, refused)
	assert.Equal(t, remaining, defaultQuarantineTTL)
	q.ClearStrike(epoch, 1)
	_, refused = q.Refused(epoch, 1)
	assert.Assert(t, refused, "the strikes of a quarantined request are not cleared")
	_, refused = q.Refused(epoch.Add(defaultQuarantineTTL), 1)
	assert.Assert(t, !refused, "the quarantine expires")
}

func TestStrikesExpireAndAreCleared(t *testing.T) {
	q := NewQuarantine(QuarantineConfig{})
	q.RecordStrike(epoch, strikeAt("crash-1", epoch))
	assert.Assert(t, !q.IsSuspect(epoch.Add(defaultStrikeTTL), 1))
	assert.Assert(t, !q.RecordStrike(epoch.Add(defaultStrikeTTL), strikeAt("crash-1", epoch)), "an expired strike is not recorded")
	q.RecordStrike(epoch, strikeAt("crash-2", epoch))
	q.ClearStrike(epoch, 1)
	assert.Assert(t, !q.IsSuspect(epoch, 1))
	assert.Assert(t, !q.RecordStrike(epoch, strikeAt("crash-2", epoch)), "a cleared strike is not recorded again")
	assert.Assert(t, q.RecordStrike(epoch, strikeAt("crash-3", epoch)))
}

func TestQuarantineIsBounded(t *testing.T) {
	const limit = 10
	q := NewQuarantine(QuarantineConfig{MaxFingerprints: limit})
	for i := range uint64(3 * limit) {
		q.RecordStrike(epoch, Strike{Fingerprint: i + 1, Crash: "crash", At: epoch.Add(-time.Duration(i))})
	}
	assert.Equal(t, len(q.RecentStrikes(epoch, time.Minute)), limit)
}

func TestRetryBudgetLimitsTheRetryRatio(t *testing.T) {
	b := NewRetryBudget(RetryBudgetConfig{Ratio: 0.1, Burst: 5})
	retries := 0
	const calls = 1000
	for range calls {
		b.RecordCall()
		if b.TakeRetry() {
			retries++
		}
	}
	assert.Assert(t, retries >= 100 && retries <= 105, "%d retries", retries)
}

func TestFingerprintSeparatesItsParts(t *testing.T) {
	assert.Assert(t, Fingerprint("a", "b", nil) != Fingerprint("ab", "", nil))
	assert.Equal(t, Fingerprint("a", "b", []byte("c")), Fingerprint("a", "b", []byte("c")))
}

// Guards against a caller whose sound request is refused for long after it ran by chance
// at two crashes.
func TestRequestWithTwoStrikesGetsATrial(t *testing.T) {
	const trialAfter = 20 * time.Second
	q := NewQuarantine(QuarantineConfig{TrialAfter: trialAfter})
	q.RecordStrike(epoch, strikeAt("crash-1", epoch))
	q.RecordStrike(epoch, strikeAt("crash-2", epoch))
	remaining, refused := q.Refused(epoch, 1)
	assert.Assert(t, refused)
	assert.Equal(t, remaining, trialAfter)
	trial := epoch.Add(trialAfter)
	_, refused = q.Refused(trial, 1)
	assert.Assert(t, !refused && q.IsSuspect(trial, 1))
	assert.Assert(t, q.OnTrial(trial, 1) && !q.OnTrial(epoch, 1) && !q.OnTrial(trial, 2))

	q.RecordStrike(trial, strikeAt("crash-3", trial))
	remaining, refused = q.Refused(trial, 1)
	assert.Assert(t, refused, "the trial failed")
	assert.Equal(t, remaining, defaultQuarantineTTL)
}

// Guards against the quarantine of streams that were resumed once and cut off twice:
// requests that crash endpoints mostly do so before they answer.
func TestLateStrikesCountHalf(t *testing.T) {
	q := NewQuarantine(QuarantineConfig{})
	for i, crash := range []string{"1", "2", "3", "4"} {
		_, refused := q.Refused(epoch, 1)
		assert.Assert(t, !refused, "after %d late strikes", i)
		q.RecordStrike(epoch, Strike{Fingerprint: 1, Crash: crash, At: epoch, Late: true})
	}
	_, refused := q.Refused(epoch, 1)
	assert.Assert(t, refused)
}

// Guards against a sound request that stays in quarantine although it ran to its end, and
// against reports of its crashes that arrive only then.
func TestAbsolvedRequestIsNoSuspect(t *testing.T) {
	q := NewQuarantine(QuarantineConfig{})
	q.RecordStrike(epoch, strikeAt("crash-1", epoch))
	q.RecordStrike(epoch, strikeAt("crash-2", epoch))
	assert.Equal(t, len(q.Absolve(epoch, 1)), 2)
	assert.Assert(t, !q.IsSuspect(epoch, 1))
	assert.Assert(t, !q.RecordStrike(epoch, strikeAt("crash-2", epoch)))

	assert.Assert(t, q.AbsolveStrike(epoch, strikeAt("crash-3", epoch)), "it is absolved before its strike arrives")
	assert.Assert(t, !q.AbsolveStrike(epoch, strikeAt("crash-3", epoch)))
	assert.Assert(t, !q.RecordStrike(epoch, strikeAt("crash-3", epoch)))
	assert.Assert(t, q.RecordStrike(epoch, strikeAt("crash-4", epoch)))
}

// Guards against a deadly part that crashes twice as many endpoints since a sound one, absolved
// meanwhile, had shared the blame.
func TestLastSuspectOfACrashGetsTheWholeBlame(t *testing.T) {
	q := NewQuarantine(QuarantineConfig{QuarantineStrikes: 3})
	now := time.Unix(1000, 0)
	const sound, deadly, other = 1, 2, 3
	for _, crash := range []string{"a", "b", "c"} {
		for _, part := range []uint64{sound, deadly} {
			q.RecordStrike(now, Strike{Fingerprint: part, Crash: crash, At: now, Shared: true})
		}
	}
	_, refused := q.Refused(now, deadly)
	assert.Assert(t, !refused)
	q.Absolve(now, sound)
	_, refused = q.Refused(now, deadly)
	assert.Assert(t, refused)

	for _, part := range []uint64{sound, other, 4} {
		q.RecordStrike(now, Strike{Fingerprint: part, Crash: "d", At: now, Shared: true})
	}
	q.Absolve(now, sound)
	assert.Assert(t, q.Strikes(now, other)[0].Shared, "two suspects are left")
}
