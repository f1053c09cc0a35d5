package routing

import (
	"math"
	"slices"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// maxRememberedParts bounds the parts whose last answer is remembered; a forgotten part
	// counts as one that was never answered.
	maxRememberedParts = 16384
	// minSilence is the number of requests without a part that must have been answered since the
	// last one with it before the part is suspected. While all endpoints stand still no
	// part is; a part of one in fifty prompts is silent for that long once in fifty times.
	minSilence = 200
	// minAnswered is the number of requests that must have been answered before a part that never was
	// is suspected, unless another part of its prompt was answered. It tells a new part from
	// one that is only new to a process that has just started.
	minAnswered = 50
	// weakSilence is the same as minSilence for a weak suspicion. Chance judges it.
	weakSilence = 1
	// minAnsweredPerCrash is how many requests without a part must have been answered for each that
	// crashed an endpoint, since the last answer on the part, for a suspicion that is not weak: else endpoints
	// crash for another reason too.
	minAnsweredPerCrash = 4
)

// PartHistory knows which parts of prompts endpoints have answered. A part that crashes each
// endpoint that begins to answer it, be it after some events, is never answered whole, while the other
// parts of its prompts are, in other requests. It is not safe for concurrent use.
type PartHistory struct {
	// answered is the number of requests that were answered whole.
	answered uint64
	// answeredAt holds the last answer on a part.
	answeredAt *lru.Cache[uint64, partAnswer]
	// crashed is the number of requests whose endpoint crashed before it had answered them, and
	// crashedWith that of those with a part since its last answer.
	crashed     uint64
	crashedWith *lru.Cache[uint64, uint64]
}

// partAnswer is the last answer on a part: the values of answered and crashed at that time.
type partAnswer struct {
	answered, crashed uint64
}

// NewPartHistory returns an empty history.
func NewPartHistory() *PartHistory {
	// It fails only for a size below one.
	answeredAt, _ := lru.New[uint64, partAnswer](maxRememberedParts)
	crashedWith, _ := lru.New[uint64, uint64](maxRememberedParts)
	return &PartHistory{answeredAt: answeredAt, crashedWith: crashedWith}
}

// RecordAnswer records that an endpoint has answered a request whole whose prompt has these
// parts.
func (h *PartHistory) RecordAnswer(parts []uint64) {
	h.answered++
	for _, part := range parts {
		h.answeredAt.Add(part, partAnswer{answered: h.answered, crashed: h.crashed})
		h.crashedWith.Remove(part)
	}
}

// RecordCrash records that an endpoint crashed before it had answered a request whose prompt
// has these parts.
func (h *PartHistory) RecordCrash(parts []uint64) {
	h.crashed++
	for _, part := range parts {
		with, _ := h.crashedWith.Get(part)
		h.crashedWith.Add(part, with+1)
	}
}

// Suspects returns the parts of a prompt that may be to blame for a crash before its
// answer began: those with the longest silence, if that is unusual. Several parts have
// the same silence if they were never answered or always together. With a shorter silence, or if requests
// without the part crash endpoints too, it is a weak suspicion, of which Chance says how many make a proof.
func (h *PartHistory) Suspects(parts []uint64) (suspects []uint64, weak bool) {
	if h.answered >= minAnswered || slices.ContainsFunc(parts, h.answeredAt.Contains) {
		suspects = h.mostSilent(parts, minSilence)
		if len(suspects) > 0 && !slices.ContainsFunc(suspects, h.othersCrash) {
			return suspects, false
		}
	}
	suspects = h.LateSuspects(parts)
	return suspects, len(suspects) > 0
}

// LateSuspects is Suspects for a crash after the answer has begun. The suspicion is weak: more
// requests run at an endpoint than wait there, so that more are there by chance.
func (h *PartHistory) LateSuspects(parts []uint64) []uint64 {
	return h.mostSilent(parts, weakSilence)
}

// Chance returns how likely it is that a number of endpoints crash, each while a request with a part is
// there, and none answers one meanwhile, if the part is sound. Then its requests crash with their
// endpoints as often as those without it, in traffic of any rate.
func (h *PartHistory) Chance(part uint64, crashes int) float64 {
	answered, crashed := h.others(part)
	// One crash more keeps a few answers without a crash from being a proof.
	share := float64(crashed+1) / float64(crashed+answered+1)
	return math.Pow(share, float64(crashes))
}

// othersCrash reports whether many requests without a part crashed endpoints since its last answer.
func (h *PartHistory) othersCrash(part uint64) bool {
	answered, crashed := h.others(part)
	return answered < minAnsweredPerCrash*crashed
}

// Knows reports whether requests with a part were answered or crashed endpoints.
func (h *PartHistory) Knows(part uint64) bool {
	return h.answeredAt.Contains(part) || h.crashedWith.Contains(part)
}

// IsEmpty reports whether no part is known.
func (h *PartHistory) IsEmpty() bool {
	return h.answeredAt.Len()+h.crashedWith.Len() == 0
}

// mostSilent returns the parts with the longest silence, if that is least or more.
func (h *PartHistory) mostSilent(parts []uint64, least uint64) []uint64 {
	longest := uint64(0)
	var silent []uint64
	for _, part := range parts {
		switch silence := h.silence(part); {
		case silence < least || silence < longest:
		case silence > longest:
			longest = silence
			silent = []uint64{part}
		default:
			silent = append(silent, part)
		}
	}
	return silent
}

// others returns how many requests without a part were answered since its last answer, and how many
// crashed an endpoint instead.
func (h *PartHistory) others(part uint64) (answered, crashed uint64) {
	last, _ := h.answeredAt.Get(part)
	with, _ := h.crashedWith.Get(part)
	answered, crashed = h.answered-last.answered, h.crashed-last.crashed
	return answered, crashed - min(with, crashed)
}

// IsAnsweredLately reports whether requests with a part were answered, without an unusual silence
// since.
func (h *PartHistory) IsAnsweredLately(part uint64) bool {
	return h.silence(part) < minSilence
}

// silence returns the number of requests without a part that were answered since the last
// one with it, the largest number for a part that never was.
func (h *PartHistory) silence(part uint64) uint64 {
	last, ok := h.answeredAt.Get(part)
	if !ok {
		return math.MaxUint64
	}
	return h.answered - last.answered
}
