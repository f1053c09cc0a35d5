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

// refusal is an answer given before an attempt begins.
type refusal struct {
	status int
	code   string
}

// generate answers one attempt as server-sent events.
func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var request endpoint.CompletionRequest
	if json.NewDecoder(http.MaxBytesReader(w, r.Body, maxPromptBytes)).Decode(&request) != nil {
		refuse(w, http.StatusBadRequest, codeBadRequest)
		return
	}
	ctx, end := context.WithCancelCause(r.Context())
	defer end(nil)
	attempt := &engineAttempt{id: r.Header.Get(endpoint.AttemptHeader), request: request, ctx: ctx, end: end}
	if refused := e.admit(attempt); refused != nil {
		refuse(w, refused.status, refused.code)
		return
	}
	defer e.forget(attempt)
	if e.slots.acquire(ctx, request.Priority) != nil {
		e.endQueued(w, attempt)
		return
	}
	defer e.slots.release()
	e.run(w, attempt)
}

// admit registers the attempt, or returns why it is refused.
func (e *Engine) admit(attempt *engineAttempt) *refusal {
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
	case e.running[attempt.id] != nil:
		return &refusal{status: http.StatusConflict, code: codeDuplicate}
	}
	attempt.version = e.serving.Version
	attempt.manifest = e.serving.Manifest
	attempt.tokens = len(attempt.request.PrefixTokens)
	e.running[attempt.id] = attempt
	e.recent.put(attempt)
	return nil
}

func (e *Engine) forget(attempt *engineAttempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, attempt.id)
}

// endQueued ends an attempt that got no slot. Only a crash drops the
// connection.
func (e *Engine) endQueued(w http.ResponseWriter, attempt *engineAttempt) {
	if errors.Is(context.Cause(attempt.ctx), errEndedByCrash) {
		abort()
	}
	refuse(w, http.StatusServiceUnavailable, codeLoading)
}

// run streams the answer in a slot.
func (e *Engine) run(w http.ResponseWriter, attempt *engineAttempt) {
	delay, begun := e.begin(attempt)
	if !begun {
		e.endQueued(w, attempt)
		return
	}
	stream := newEventWriter(w)
	err := e.sleep(attempt.ctx, delay)
	for index := len(attempt.request.PrefixTokens); err == nil && index < e.length(attempt); index++ {
		err = e.token(stream, attempt, index)
	}
	if err != nil {
		e.endBegun(attempt)
		return
	}
	stream.done(attempt, e.length(attempt))
}

// begin counts the attempt and returns the time to its first token. It
// returns false when the attempt ended while it was queued.
func (e *Engine) begin(attempt *engineAttempt) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if attempt.ctx.Err() != nil {
		return 0, false
	}
	e.countBegun(attempt)
	if strings.Contains(attempt.request.Prompt, CrashMarker) {
		e.crash()
		return 0, true
	}
	return e.firstTokenDelay(attempt.request), true
}

func (e *Engine) countBegun(attempt *engineAttempt) {
	e.counts.Begun++
	e.begunPrompts[xxhash.Sum64String(attempt.request.Prompt)]++
	e.begunAttempts[attempt.id]++
	if !e.leaving.IsZero() && e.clock().After(e.leaving) {
		e.counts.AfterLeave++
	}
}

func (e *Engine) firstTokenDelay(request endpoint.CompletionRequest) time.Duration {
	cached := e.cache.use(endpoint.PromptPrefixHash(request.Prompt), e.clock())
	if e.imports(request) {
		e.counts.Imports++
		return 0
	}
	if cached {
		return e.config.FirstToken / cachedPrefixSpeedup
	}
	return e.config.FirstToken
}

// imports reports a cache handle that fits the served weights, the prompt and
// the prefix.
func (e *Engine) imports(request endpoint.CompletionRequest) bool {
	handle, valid := decodeCacheHandle(request.CacheHandle)
	return valid &&
		handle.Manifest == e.serving.Manifest &&
		handle.Prefix == endpoint.PromptPrefixHash(request.Prompt) &&
		handle.Tokens >= len(request.PrefixTokens)
}

// length returns the number of tokens of the whole answer.
func (e *Engine) length(attempt *engineAttempt) int {
	asked := attempt.request.MaxTokens
	if e.config.OutputTokens <= 0 {
		return asked
	}
	if asked <= 0 {
		return e.config.OutputTokens
	}
	return min(asked, e.config.OutputTokens)
}

// token makes and sends one token. The first one has been waited for.
func (e *Engine) token(stream *eventWriter, attempt *engineAttempt, index int) error {
	if index > len(attempt.request.PrefixTokens) {
		if err := e.sleep(attempt.ctx, e.config.PerToken); err != nil {
			return err
		}
	}
	if foreign := e.countToken(attempt); foreign != "" {
		stream.foreign(foreign, attempt.version, index)
	}
	return stream.token(attempt, index)
}

// countToken returns the ID for a foreign event that precedes the token, or
// an empty string.
func (e *Engine) countToken(attempt *engineAttempt) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Tokens++
	attempt.tokens++
	if len(e.recent.order) == 0 || !e.chance.hit(e.config.ForeignRatio) {
		return ""
	}
	e.counts.Foreign++
	return e.recent.other(attempt.id, e.chance)
}

// endBegun counts why the attempt ended early and ends its stream: without
// the last event after a cancel, else by dropping the connection.
func (e *Engine) endBegun(attempt *engineAttempt) {
	cause := context.Cause(attempt.ctx)
	if e.countEnd(cause); errors.Is(cause, errEndedByCancel) {
		return
	}
	abort()
}

func (e *Engine) countEnd(cause error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case errors.Is(cause, errEndedBySwap):
		e.counts.CutBySwap++
	case errors.Is(cause, errEndedByCrash):
		e.counts.CutByCrash++
	case errors.Is(cause, errEndedByCancel):
		e.counts.Cancelled++
	default:
		e.counts.Abandoned++
	}
}
