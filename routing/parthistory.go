package routing

import (
	"math"
	"slices"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// maxRememberedParts bounds the parts whose last begin is remembered; a forgotten part
	// counts as one that never began.
	maxRememberedParts = 16384
	// minSilence is the number of requests without a part that must have begun since the
	// last one with it before the part is suspected. While all endpoints stand still no
	// part is; a part of one in fifty prompts is silent for that long once in fifty times.
	minSilence = 200
	// minBegun is the number of requests that must have begun before a part that never did
	// is suspected, unless another part of its prompt has begun. It tells a new part from
	// one that is only new to a process that has just started.
	minBegun = 50
	// weakSilence is the same as minSilence for a weak suspicion, which needs other crashes to
	// be rare.
	weakSilence = 10
	// minBegunPerCrash is how many requests without a part must have begun for each that
	// crashed an endpoint, since the last begin of the part, for a weak suspicion.
	minBegunPerCrash = 4
)

// PartHistory knows which parts of prompts requests have begun to be answered with. A part
// that crashes each endpoint that begins to answer it never begins, while the other parts
// of its prompts do, in other requests. It is not safe for concurrent use.
type PartHistory struct {
	// begun is the number of requests that have begun.
	begun uint64
	// begunAt holds the last begin of a part.
	begunAt *lru.Cache[uint64, partBegin]
	// crashed is the number of requests whose endpoint crashed before they began, and
	// crashedWith that of those with a part since its last begin.
	crashed     uint64
	crashedWith *lru.Cache[uint64, uint64]
}

// partBegin is the last begin of a part: the values of begun and crashed at that time.
type partBegin struct {
	begun, crashed uint64
}

// NewPartHistory returns an empty history.
func NewPartHistory() *PartHistory {
	// It fails only for a size below one.
	begunAt, _ := lru.New[uint64, partBegin](maxRememberedParts)
	crashedWith, _ := lru.New[uint64, uint64](maxRememberedParts)
	return &PartHistory{begunAt: begunAt, crashedWith: crashedWith}
}

// RecordBegin records that an endpoint began to answer a request whose prompt has these
// parts.
func (h *PartHistory) RecordBegin(parts []uint64) {
	h.begun++
	for _, part := range parts {
		h.begunAt.Add(part, partBegin{begun: h.begun, crashed: h.crashed})
		h.crashedWith.Remove(part)
	}
}

// RecordCrash records that an endpoint crashed before it began to answer a request whose prompt
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
// the same silence if they never began or always began together. A shorter silence is a weak
// suspicion, unless requests without the part crash endpoints too.
func (h *PartHistory) Suspects(parts []uint64) (suspects []uint64, weak bool) {
	if h.begun >= minBegun || slices.ContainsFunc(parts, h.begunAt.Contains) {
		if suspects = h.mostSilent(parts, minSilence); len(suspects) > 0 {
			return suspects, false
		}
	}
	suspects = h.mostSilent(parts, weakSilence)
	if slices.ContainsFunc(suspects, func(part uint64) bool { return !h.crashesAlone(part) }) {
		return nil, false
	}
	return suspects, len(suspects) > 0
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

// crashesAlone reports whether many requests without a part have begun since its last begin, and
// few of them crashed an endpoint instead.
func (h *PartHistory) crashesAlone(part uint64) bool {
	last, _ := h.begunAt.Get(part)
	with, _ := h.crashedWith.Get(part)
	begun, crashed := h.begun-last.begun, h.crashed-last.crashed
	others := crashed - min(with, crashed)
	return begun >= weakSilence && begun >= minBegunPerCrash*others
}

// HasBegunLately reports whether requests with a part have begun, without an unusual silence
// since.
func (h *PartHistory) HasBegunLately(part uint64) bool {
	return h.silence(part) < minSilence
}

// silence returns the number of requests without a part that have begun since the last
// one with it, the largest number for a part that never began.
func (h *PartHistory) silence(part uint64) uint64 {
	last, ok := h.begunAt.Get(part)
	if !ok {
		return math.MaxUint64
	}
	return h.begun - last.begun
}
