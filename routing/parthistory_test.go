package routing

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// strongSuspects returns the suspects of a crash, none for a weak suspicion.
func strongSuspects(h *PartHistory, parts []uint64) []uint64 {
	suspects, weak := h.Suspects(parts)
	if weak {
		return nil
	}
	return suspects
}

// beginOthers records begins of requests with other parts.
func beginOthers(h *PartHistory, count int) {
	for range count {
		h.RecordAnswer([]uint64{999})
	}
}

// Guards against blame for the parts that a deadly one shares its prompts with.
func TestPartThatNeverBeganIsSuspected(t *testing.T) {
	h := NewPartHistory()
	const common, deadly = 1, 2
	assert.Equal(t, len(strongSuspects(h, []uint64{common, deadly})), 0, "the entry has just started")
	h.RecordAnswer([]uint64{common})
	assert.DeepEqual(t, strongSuspects(h, []uint64{common, deadly}), []uint64{deadly})
	assert.DeepEqual(t, strongSuspects(h, []uint64{deadly, common}), []uint64{deadly})
	beginOthers(h, minAnswered)
	assert.DeepEqual(t, strongSuspects(h, []uint64{common, deadly}), []uint64{deadly})
	assert.DeepEqual(t, strongSuspects(h, []uint64{3, 4}), []uint64{3, 4})
}

// Guards against a part that was sound before and turns deadly with new weights.
func TestPartThatStoppedBeginningIsSuspected(t *testing.T) {
	h := NewPartHistory()
	const common, deadly = 1, 2
	h.RecordAnswer([]uint64{common, deadly})
	beginOthers(h, minSilence-1)
	assert.Equal(t, len(strongSuspects(h, []uint64{common, deadly})), 0)
	h.RecordAnswer([]uint64{common})
	assert.DeepEqual(t, strongSuspects(h, []uint64{common, deadly}), []uint64{deadly})
}

// Guards against a part that turns deadly and crashes endpoint after endpoint until hundreds of
// other requests were answered at an entry that gets a few a second.
func TestPartThatWasAnsweredAWhileAgoIsSuspectedWeakly(t *testing.T) {
	h := NewPartHistory()
	const common, deadly = 1, 2
	h.RecordAnswer([]uint64{common, deadly})
	suspects, _ := h.Suspects([]uint64{common, deadly})
	assert.Equal(t, len(suspects), 0, "it was answered last")
	h.RecordAnswer([]uint64{common})
	suspects, weak := h.Suspects([]uint64{common, deadly})
	assert.Assert(t, weak)
	assert.DeepEqual(t, suspects, []uint64{deadly})
	assert.DeepEqual(t, h.LateSuspects([]uint64{common, deadly}), []uint64{deadly})
}

// Guards against blame by weak suspicions alone: other requests must be answered meanwhile, and must
// not crash endpoints as well.
func TestChanceOfCrashesFallsWithAnswersToOthers(t *testing.T) {
	h := NewPartHistory()
	const deadly = 2
	h.RecordAnswer([]uint64{deadly})
	assert.Equal(t, h.Chance(deadly, 8), 1.0, "no other request was answered")
	beginOthers(h, 7)
	assert.Equal(t, h.Chance(deadly, 3), 1.0/512)
	h.RecordCrash([]uint64{deadly})
	h.RecordCrash([]uint64{deadly})
	assert.Equal(t, h.Chance(deadly, 3), 1.0/512, "its own crashes speak for nothing else")
	for range 8 {
		h.RecordCrash([]uint64{999})
	}
	assert.Equal(t, h.Chance(deadly, 1), 9.0/16, "other requests crash endpoints too")
	h.RecordAnswer([]uint64{deadly})
	assert.Equal(t, h.Chance(deadly, 8), 1.0)
}

// Guards against the quarantine of a part that most prompts share when all endpoints stand
// still and then crash: nothing has begun without it.
func TestPartOfAllPromptsIsNeverSuspected(t *testing.T) {
	h := NewPartHistory()
	for range 10 * minSilence {
		h.RecordAnswer([]uint64{1})
	}
	suspects, _ := h.Suspects([]uint64{1})
	assert.Equal(t, len(suspects), 0)
}

// Guards against the quarantine of popular sound parts by endpoints that all crash at once
// for another reason, with their share of the requests waiting at each.
func TestCrashOfAllEndpointsQuarantinesFewSoundParts(t *testing.T) {
	const (
		rounds       = 200
		parts        = 100
		endpoints    = 11
		waitingThere = 5
		strikes      = 3
	)
	random := rand.New(rand.NewPCG(1, 2))
	// A few parts are in a large share of the prompts.
	draw := func() uint64 { return uint64(random.ExpFloat64()*parts/5) + 1 }
	quarantined := 0
	for range rounds {
		h := NewPartHistory()
		for range 20 * parts {
			h.RecordAnswer([]uint64{draw()})
		}
		crashesOf := map[uint64]int{}
		for range endpoints {
			struck := map[uint64]bool{}
			for range waitingThere {
				for _, part := range strongSuspects(h, []uint64{draw()}) {
					struck[part] = true
				}
			}
			for part := range struck {
				crashesOf[part]++
			}
		}
		for _, crashes := range crashesOf {
			if crashes >= strikes {
				quarantined++
			}
		}
	}
	assert.Assert(t, quarantined <= rounds/10, "%d parts in %d crashes of all endpoints", quarantined, rounds)
}

// Guards against a flood of distinct parts that grows the history without bound.
func TestPartHistoryIsBounded(t *testing.T) {
	h := NewPartHistory()
	for part := range uint64(2 * maxRememberedParts) {
		h.RecordAnswer([]uint64{part + 1})
	}
	assert.Equal(t, h.answeredAt.Len(), maxRememberedParts)
}
