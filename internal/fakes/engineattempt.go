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
	// ctx ends when the caller disconnects, or with an endError as its cause.
	ctx    context.Context
	end    context.CancelCauseFunc
	tokens int // Tokens of the answer so far, including the prefix.
}

// endError is the reason why an attempt ended early.
type endError string

// Error implements error.
func (e endError) Error() string {
	return string(e)
}

const (
	errEndedByLoad   endError = "ended by a load"
	errEndedByCrash  endError = "ended by a crash"
	errEndedByCancel endError = "ended by a cancel"
)

// recentAttempts keeps the latest attempts, for exports and for events that carry
// another attempt's ID.
type recentAttempts struct {
	byID map[string]*engineAttempt
	ids  []string
}

const maxRecentAttempts = 256

func newRecentAttempts() *recentAttempts {
	return &recentAttempts{byID: map[string]*engineAttempt{}}
}

func (r *recentAttempts) put(attempt *engineAttempt) {
	if r.byID[attempt.id] == nil {
		r.ids = append(r.ids, attempt.id)
	}
	r.byID[attempt.id] = attempt
	for len(r.ids) > maxRecentAttempts {
		delete(r.byID, r.ids[0])
		r.ids = r.ids[1:]
	}
}

// otherID returns an attempt ID other than id.
func (r *recentAttempts) otherID(id string, rand *seededRand) string {
	otherID := r.ids[rand.intN(len(r.ids))]
	if otherID == id {
		return "other-" + id
	}
	return otherID
}
