package fakes

import (
	"context"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/endpoint"
)

// engineAttempt is one generate request at an engine.
type engineAttempt struct {
	id       string
	request  endpoint.CompletionRequest
	version  string
	manifest core.Digest
	// ctx ends with the caller, with a cancel, with a load or a crash; its
	// cause tells which.
	ctx    context.Context
	end    context.CancelCauseFunc
	tokens int // Tokens of the answer so far, the prefix included.
}

// endError says why an attempt ended early.
type endError string

// Error implements error.
func (e endError) Error() string {
	return string(e)
}

const (
	errEndedBySwap   endError = "ended by a load"
	errEndedByCrash  endError = "ended by a crash"
	errEndedByCancel endError = "ended by a cancel"
)

// recentAttempts keeps the latest attempts, for exports and foreign events.
type recentAttempts struct {
	byID  map[string]*engineAttempt
	order []string
}

const maxRecentAttempts = 256

func newRecentAttempts() *recentAttempts {
	return &recentAttempts{byID: map[string]*engineAttempt{}}
}

func (r *recentAttempts) put(attempt *engineAttempt) {
	if r.byID[attempt.id] == nil {
		r.order = append(r.order, attempt.id)
	}
	r.byID[attempt.id] = attempt
	for len(r.order) > maxRecentAttempts {
		delete(r.byID, r.order[0])
		r.order = r.order[1:]
	}
}

// other returns the ID of another attempt.
func (r *recentAttempts) other(id string, chance *chance) string {
	picked := r.order[chance.intN(len(r.order))]
	if picked == id {
		return "other-" + id
	}
	return picked
}
