package entry

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/snipestep/snipestep/agent"
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/internal/delay"
	"github.com/snipestep/snipestep/internal/heldbytes"
	"github.com/snipestep/snipestep/routing"
	"github.com/snipestep/snipestep/wire"
)

const (
	maxRefusedAttempts = 8
	maxBrokenAttempts  = 4
	minCapacityPause   = 50 * time.Millisecond
	maxCapacityPause   = 500 * time.Millisecond
)

// tokenSink receives the response of a model call token by token.
type tokenSink interface {
	// writeToken adds one token; version is the model version of the response.
	writeToken(version, text string) error
	// finish ends a complete response.
	finish(version string, tokens int) error
	// restart discards the tokens of a response that is generated again.
	restart()
	// encodedBytes returns the memory that finish takes for copies of the response.
	encodedBytes() int
	// interrupt ends a write to the caller that blocks. It may be called while another
	// method runs.
	interrupt()
	// hasDelivered reports whether any part of the response was sent to the
	// caller.
	hasDelivered() bool
}

// modelCall runs one model call in as many attempts as it needs. The first token
// binds the response to one version of the model.
type modelCall struct {
	*call
	svc          *callService
	model        string
	prompt       string
	promptPrefix uint64
	maxTokens    int
	sink         tokenSink
	// abort ends the writing of the response.
	abort func()

	boundModel      core.ModelRef
	tokens          []string
	mayHaveBegun    bool
	refusedAttempts int
	brokenAttempts  int
	triedInstances  []core.InstanceID
	kvCacheHandle   string
	// resuming is set if the next attempt continues a broken response.
	resuming bool
	suspect  bool
}

// run blocks until the response is complete, or returns *RefusedError.
func (m *modelCall) run(ctx context.Context) error {
	m.svc.recordCall()
	defer m.releaseHeld()
	ctx, evict := context.WithCancelCause(ctx)
	defer evict(nil)
	// A caller that reads nothing must not keep an answer that makes room for others.
	interrupted := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(interrupted)
		if errors.Is(context.Cause(ctx), heldbytes.ErrNoRoom) {
			m.sink.interrupt()
		}
	})
	defer func() {
		if !stop() {
			<-interrupted // It uses the connection.
		}
	}()
	err := m.runAttempts(ctx, evict)
	if err != nil && errors.Is(context.Cause(ctx), heldbytes.ErrNoRoom) {
		return noRoomRefusal()
	}
	return err
}

// noRoomRefusal ends a call whose answer so far had to make room for others. A part of it cannot be
// dropped, as the next endpoint needs all of it to continue.
func noRoomRefusal() *RefusedError {
	return &RefusedError{
		Status:           http.StatusBadGateway,
		Code:             CodeBroken,
		Detail:           heldbytes.ErrNoRoom.Error(),
		RetryAfter:       time.Second,
		ExecutionUnknown: true,
	}
}

// runAttempts makes attempts until one completes the response. evict ends the call, whose answer has
// to make room.
func (m *modelCall) runAttempts(ctx context.Context, evict context.CancelCauseFunc) error {
	for {
		m.suspect = m.svc.quarantine.isSuspect(m.fingerprint)
		reserved, err := m.svc.dispatcher.acquire(ctx, m.queuedCall(), m.routingRequest())
		if err != nil {
			if m.tryRestart(err) || m.waitForCapacity(ctx, err) {
				continue
			}
			return m.refusal(m.explainRefusal(err))
		}
		result := m.attempt(ctx, reserved, evict)
		if result.refused == nil {
			reserved.release()
		}
		if result.done != nil {
			return m.finish(result.done)
		}
		if err := m.checkRetry(ctx, reserved.EndpointState, result); err != nil {
			return err
		}
	}
}

func (m *modelCall) queuedCall() routing.Call {
	return m.routingCall(max(1, m.maxTokens-len(m.tokens)), true, m.suspect)
}

func (m *modelCall) routingRequest() routing.Request {
	return routing.Request{
		Rank:         m.rank,
		Model:        m.wantedModel(),
		Prefix:       m.promptPrefix,
		Suspect:      m.suspect,
		Continuation: len(m.tokens) > 0,
		Exclude:      m.triedInstances,
	}
}

// wantedModel returns the version that the response is bound to, or a reference
// to any version of the model before the first token.
func (m *modelCall) wantedModel() core.ModelRef {
	if m.boundModel.IsZero() {
		return core.ModelRef{Model: m.model}
	}
	return m.boundModel
}

// tryRestart restarts the call with any version if no endpoint serves the bound
// one and nothing was sent to the caller. It reports whether it did.
func (m *modelCall) tryRestart(err error) bool {
	if m.boundModel.IsZero() || m.sink.hasDelivered() {
		return false
	}
	var refused *RefusedError
	if !errors.As(err, &refused) || m.isServed() {
		return false
	}
	m.restart()
	return true
}

// restart discards a response of which nothing was sent to the caller.
func (m *modelCall) restart() {
	m.boundModel = core.ModelRef{}
	m.tokens = nil
	m.resuming = false
	m.kvCacheHandle = ""
	m.releaseHeld()
	m.sink.restart()
}

// isBoundModelOpen reports whether an endpoint that accepts new calls serves the
// bound version.
func (m *modelCall) isBoundModelOpen() bool {
	table := m.svc.dispatcher.routes.table.Load()
	for i := range table.Len() {
		e := table.Endpoint(i)
		if e.Model == m.boundModel && !e.Draining && !e.Leaving {
			return true
		}
	}
	return false
}

// waitForCapacity keeps a call that has begun from being shed, since its caller
// is owed the rest of the response. It pauses after a refusal for overload and
// reports whether to try again: until the deadline, while an endpoint serves the
// version.
func (m *modelCall) waitForCapacity(ctx context.Context, err error) bool {
	var refused *RefusedError
	if !m.mayHaveBegun || !errors.As(err, &refused) || refused.Code != CodeOverload {
		return false
	}
	if !m.isServed() {
		return false
	}
	delay.For(ctx, min(max(refused.RetryAfter, minCapacityPause), maxCapacityPause))
	return ctx.Err() == nil
}

// isServed reports whether any endpoint serves the wanted model.
func (m *modelCall) isServed() bool {
	return m.svc.dispatcher.routes.table.Load().Serves("", m.wantedModel())
}

// explainRefusal replaces a refusal if its cause is that no endpoint serves the
// bound version any more.
func (m *modelCall) explainRefusal(err error) error {
	if m.boundModel.IsZero() || m.isServed() {
		return err
	}
	return &RefusedError{
		Status:     http.StatusBadGateway,
		Code:       CodeVersionGone,
		Detail:     "the answer broke and no endpoint serves version " + m.boundModel.Version + " any more",
		RetryAfter: time.Second,
	}
}

// attempt runs one attempt, and records and forwards its tokens.
func (m *modelCall) attempt(ctx context.Context, reserved *reservation, evict context.CancelCauseFunc) attemptResult {
	ctx, span := m.svc.tracer.Start(ctx, "entry.attempt", trace.WithAttributes(
		attribute.String("instance", string(reserved.ID)),
	))
	defer span.End()
	if m.resuming {
		m.resuming = false
		m.svc.resumedResponses.Add(1)
	}
	req := m.wireRequest(reserved)
	held := m.svc.answers.Hold(ctx, string(reserved.ID), evict)
	m.held = append(m.held, held)
	result := runAttempt(ctx, m.svc.pool, &m.svc.droppedEvents, reserved.ID, req, held, func(t *wire.CallToken) error {
		if int(t.GetIndex()) != len(m.tokens) {
			return &RefusedError{Code: CodeBroken, Detail: "token out of order"}
		}
		m.boundModel = reserved.Model
		if len(m.tokens) == 0 {
			m.svc.recordFirstToken(m.rank, m.arrivedAt)
		}
		m.tokens = append(m.tokens, t.GetText())
		return m.sink.writeToken(reserved.Model.Version, t.GetText())
	})
	if held.Cause(nil) != nil {
		evict(heldbytes.ErrNoRoom)
	}
	return result
}

func (m *modelCall) wireRequest(reserved *reservation) *wire.CallRequest {
	return &wire.CallRequest{
		Attempt:      m.svc.newAttemptID(m.id),
		Call:         m.id,
		Rank:         uint32(m.rank),
		Organisation: string(m.organisation),
		Weight:       m.weight,
		Kind:         m.kind,
		Model:        reserved.Model.Model,
		Version:      reserved.Model.Version,
		Manifest:     reserved.Model.Manifest[:],
		Prompt:       m.prompt,
		MaxTokens:    uint32(m.maxTokens),
		PrefixTokens: m.tokens,
		Idempotent:   true,
		DeadlineMs:   uint32(max(0, time.Until(m.deadline).Milliseconds())),
		Fingerprint:  m.fingerprint,
		PromptPrefix: m.promptPrefix,
		Suspect:      m.suspect,
		KvHandle:     m.kvCacheHandle,
		WaitedMs:     uint32(reserved.waited.Milliseconds()),
	}
}

func (m *modelCall) finish(done *wire.CallDone) error {
	if m.suspect {
		m.svc.quarantine.clearStrike(m.fingerprint)
	}
	if m.startWriting(m.abort) != nil || m.addHeld(m.sink.encodedBytes()) != nil {
		return noRoomRefusal()
	}
	err := m.sink.finish(done.GetModelVersion(), len(m.tokens))
	if m.endWriting() != nil {
		panic(http.ErrAbortHandler)
	}
	return err
}

// checkRetry returns nil if another attempt should follow, or the refusal.
func (m *modelCall) checkRetry(ctx context.Context, tried routing.EndpointState, result attemptResult) error {
	// Unless it was refused, an attempt may have begun, even if it hit the deadline.
	m.mayHaveBegun = m.mayHaveBegun || !isRefusedNotRun(result)
	if ctx.Err() != nil {
		return m.refusal(ctx.Err())
	}
	m.triedInstances = append(m.triedInstances, tried.ID)
	if result.refused != nil {
		return m.afterRefusal(ctx, result.refused)
	}
	return m.afterBreak(tried, result.broken)
}

func (m *modelCall) afterRefusal(ctx context.Context, refused *wire.CallRefused) error {
	m.refusedAttempts++
	versionDraining := refused.GetCode() == agent.CodeDraining && !m.boundModel.IsZero() && !m.isBoundModelOpen()
	if versionDraining && !m.sink.hasDelivered() {
		m.restart()
		return nil
	}
	if m.refusedAttempts < maxRefusedAttempts && refused.GetCode() != agent.CodePatienceExceeded {
		return nil
	}
	refusal := &RefusedError{
		Status:     http.StatusTooManyRequests,
		Code:       CodeOverload,
		Detail:     "endpoints refused the call: " + refused.GetCode(),
		RetryAfter: time.Duration(refused.GetRetryAfterMs()) * time.Millisecond,
	}
	if m.waitForCapacity(ctx, refusal) {
		return nil
	}
	return m.refusal(refusal)
}

func (m *modelCall) afterBreak(tried routing.EndpointState, broken *wire.CallBroken) error {
	m.kvCacheHandle = broken.GetKvHandle()
	m.resuming = len(m.tokens) > 0
	if broken.GetCode() == agent.CodeMoved {
		return nil
	}
	m.brokenAttempts++
	m.svc.recordStrike(m.fingerprint, tried.ID, broken)
	if wait, ok := m.svc.quarantine.quarantinedFor(m.fingerprint); ok {
		return m.refusal(quarantineRefusal(wait))
	}
	if m.brokenAttempts >= maxBrokenAttempts || !m.svc.takeRetry() {
		return m.refusal(&RefusedError{
			Status:     http.StatusBadGateway,
			Code:       CodeRetriesExceeded,
			Detail:     strconv.Itoa(m.brokenAttempts) + " attempts broke",
			RetryAfter: time.Second,
		})
	}
	return nil
}

// refusal returns the final refusal. It is not-run only if no endpoint can have
// begun the call.
func (m *modelCall) refusal(err error) error {
	return finalRefusal(err, m.mayHaveBegun)
}

func quarantineRefusal(wait time.Duration) *RefusedError {
	return &RefusedError{
		Status:     http.StatusUnprocessableEntity,
		Code:       CodeQuarantined,
		Detail:     "the request was in flight at two endpoint crashes",
		RetryAfter: wait,
	}
}

// finalRefusal converts an error to the refusal that the caller gets.
func finalRefusal(err error, mayHaveBegun bool) *RefusedError {
	var refused *RefusedError
	if !errors.As(err, &refused) {
		refused = &RefusedError{
			Status:     http.StatusGatewayTimeout,
			Code:       CodeDeadline,
			Detail:     err.Error(),
			RetryAfter: time.Second,
		}
	}
	final := *refused
	final.ExecutionUnknown = final.ExecutionUnknown || mayHaveBegun
	return &final
}
