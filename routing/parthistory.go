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
)

// PartHistory knows which parts of prompts requests have begun to be answered with. A part
// that crashes each endpoint that begins to answer it never begins, while the other parts
// of its prompts do, in other requests. It is not safe for concurrent use.
type PartHistory struct {
	// begun is the number of requests that have begun.
	begun uint64
	// begunAt holds the value of begun at the last begin of a part.
	begunAt *lru.Cache[uint64, uint64]
}

// NewPartHistory returns an empty history.
func NewPartHistory() *PartHistory {
	// It fails only for a size below one.
	begunAt, _ := lru.New[uint64, uint64](maxRememberedParts)
	return &PartHistory{begunAt: begunAt}
}

// RecordBegin records that an endpoint began to answer a request whose prompt has these
// parts.
func (h *PartHistory) RecordBegin(parts []uint64) {
	h.begun++
	for _, part := range parts {
		h.begunAt.Add(part, h.begun)
	}
}

// Suspects returns the parts of a prompt that may be to blame for a crash before its
// answer began: those with the longest silence, if that is unusual. Several parts have
// the same silence if they never began or always began together.
func (h *PartHistory) Suspects(parts []uint64) []uint64 {
	if h.begun < minBegun && !slices.ContainsFunc(parts, h.begunAt.Contains) {
		return nil // The process has just started.
	}
	longest := uint64(0)
	var suspects []uint64
	for _, part := range parts {
		switch silence := h.silence(part); {
		case silence < minSilence || silence < longest:
		case silence > longest:
			longest = silence
			suspects = []uint64{part}
		default:
			suspects = append(suspects, part)
		}
	}
	return suspects
}

// HasBegunLately reports whether requests with a part have begun, without an unusual silence
// since.
func (h *PartHistory) HasBegunLately(part uint64) bool {
	return h.silence(part) < minSilence
}

// silence returns the number of requests without a part that have begun since the last
// one with it, the largest number for a part that never began.
func (h *PartHistory) silence(part uint64) uint64 {
	begunAt, ok := h.begunAt.Get(part)
	if !ok {
		return math.MaxUint64
	}
	return h.begun - begunAt
}
