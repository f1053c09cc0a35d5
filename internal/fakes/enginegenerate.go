package fakes

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/snipestep/snipestep/endpoint"
)

const (
	maxPromptBytes      = 8 << 20
	cachedPrefixSpeedup = 4
)

// refusal is the error response to an attempt that does not start.
type refusal struct {
	status int
	code   string
}

// generate handles one attempt and streams its answer as server-sent events.
func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var request endpoint.CompletionRequest
	if json.NewDecoder(http.MaxBytesReader(w, r.Body, maxPromptBytes)).Decode(&request) != nil {
		writeError(w, http.StatusBadRequest, codeBadRequest)
		return
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	attempt := &engineAttempt{id: r.Header.Get(endpoint.AttemptHeader), request: request, ctx: ctx, end: cancel}
	if refusal := e.registerAttempt(attempt); refusal != nil {
		writeError(w, refusal.status, refusal.code)
		return
	}
	defer e.unregisterAttempt(attempt)
	if e.slots.acquire(ctx, request.Priority) != nil {
		e.refuseQueued(w, attempt)
		return
	}
	defer e.slots.release()
	e.streamAnswer(w, attempt)
}

// registerAttempt returns nil, or why the attempt is refused.
func (e *Engine) registerAttempt(attempt *engineAttempt) *refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.clock().Before(e.downUntil):
		return &refusal{status: http.StatusServiceUnavailable, code: codeRestarting}
	case e.loading:
		return &refusal{status: http.StatusServiceUnavailable, code: codeLoading}
	case e.serving.IsZero():
		return &refusal{status: http.StatusServiceUnavailable, code: codeNoModel}
	case attempt.request.Model != "" && attempt.request.Model != e.serving.Model:
		return &refusal{status: http.StatusNotFound, code: codeModelNotFound}
	case e.attempts[attempt.id] != nil:
		return &refusal{status: http.StatusConflict, code: codeDuplicateAttempt}
	}
	attempt.version = e.serving.Version
	attempt.manifest = e.serving.Manifest
	attempt.tokens = len(attempt.request.PrefixTokens)
	e.attempts[attempt.id] = attempt
	e.recentAttempts.put(attempt)
	return nil
}

func (e *Engine) unregisterAttempt(attempt *engineAttempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.attempts, attempt.id)
}

// refuseQueued ends an attempt that did not start. It drops the connection after
// a crash and otherwise responds with 503.
func (e *Engine) refuseQueued(w http.ResponseWriter, attempt *engineAttempt) {
	if errors.Is(context.Cause(attempt.ctx), errEndedByCrash) {
		abortConnection()
	}
	writeError(w, http.StatusServiceUnavailable, codeLoading)
}

// streamAnswer streams the answer. The caller holds a slot.
func (e *Engine) streamAnswer(w http.ResponseWriter, attempt *engineAttempt) {
	delay, started := e.start(attempt)
	if !started {
		e.refuseQueued(w, attempt)
		return
	}
	stream := newEventWriter(w)
	err := e.sleep(attempt.ctx, delay)
	for index := len(attempt.request.PrefixTokens); err == nil && index < e.answerLength(attempt); index++ {
		err = e.sendToken(stream, attempt, index)
	}
	if err != nil {
		e.endStarted(attempt)
		return
	}
	stream.writeDone(attempt, e.answerLength(attempt))
}

// start counts the attempt and returns the delay of its first token. It returns
// false if the attempt ended while it was queued.
func (e *Engine) start(attempt *engineAttempt) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if attempt.ctx.Err() != nil {
		return 0, false
	}
	e.countStart(attempt)
	if strings.Contains(attempt.request.Prompt, CrashMarker) {
		e.crash()
		return 0, true
	}
	return e.firstTokenDelay(attempt.request), true
}

func (e *Engine) countStart(attempt *engineAttempt) {
	e.counts.Started++
	e.startsByPromptHash[xxhash.Sum64String(attempt.request.Prompt)]++
	e.startsByAttempt[attempt.id]++
	if !e.leaveTime.IsZero() && e.clock().After(e.leaveTime) {
		e.counts.StartedAfterLeave++
	}
}

func (e *Engine) firstTokenDelay(request endpoint.CompletionRequest) time.Duration {
	cached := e.cache.access(endpoint.PromptPrefixHash(request.Prompt), e.clock())
	if e.canImportCache(request) {
		e.counts.Imports++
		return 0
	}
	if cached {
		return e.config.FirstTokenDelay / cachedPrefixSpeedup
	}
	return e.config.FirstTokenDelay
}

// canImportCache reports whether the request has a cache handle that matches the
// served weights, the prompt and the prefix.
func (e *Engine) canImportCache(request endpoint.CompletionRequest) bool {
	handle, valid := decodeCacheHandle(request.CacheHandle)
	return valid &&
		handle.Manifest == e.serving.Manifest &&
		handle.PrefixHash == endpoint.PromptPrefixHash(request.Prompt) &&
		handle.Tokens >= len(request.PrefixTokens)
}

// answerLength returns the number of tokens of the complete answer.
func (e *Engine) answerLength(attempt *engineAttempt) int {
	requested := attempt.request.MaxTokens
	if e.config.OutputTokens <= 0 {
		return requested
	}
	if requested <= 0 {
		return e.config.OutputTokens
	}
	return min(requested, e.config.OutputTokens)
}

// sendToken waits for the token interval, except before the first token, and
// sends one token.
func (e *Engine) sendToken(stream *eventWriter, attempt *engineAttempt, index int) error {
	if index > len(attempt.request.PrefixTokens) {
		if err := e.sleep(attempt.ctx, e.config.TokenInterval); err != nil {
			return err
		}
	}
	if otherAttempt := e.countToken(attempt); otherAttempt != "" {
		stream.writeMismatchedToken(otherAttempt, attempt.version, index)
	}
	return stream.writeToken(attempt, index)
}

// countToken counts a token. It returns the attempt ID of a mismatched event to
// send before the token, or "" for none.
func (e *Engine) countToken(attempt *engineAttempt) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Tokens++
	attempt.tokens++
	if len(e.recentAttempts.ids) == 0 || !e.rand.chance(e.config.AttemptMismatchRatio) {
		return ""
	}
	e.counts.AttemptMismatches++
	return e.recentAttempts.otherID(attempt.id, e.rand)
}

// endStarted counts why the attempt ended early and ends its stream: after a
// cancel without the last event, otherwise by dropping the connection.
func (e *Engine) endStarted(attempt *engineAttempt) {
	cause := context.Cause(attempt.ctx)
	if e.countEnd(cause); errors.Is(cause, errEndedByCancel) {
		return
	}
	abortConnection()
}

func (e *Engine) countEnd(cause error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case errors.Is(cause, errEndedByLoad):
		e.counts.EndedByLoad++
	case errors.Is(cause, errEndedByCrash):
		e.counts.EndedByCrash++
	case errors.Is(cause, errEndedByCancel):
		e.counts.Cancelled++
	default:
		e.counts.Abandoned++
	}
}
