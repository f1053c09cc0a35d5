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
	"github.com/snipestep/snipestep/routing"
	"github.com/snipestep/snipestep/wire"
)

const (
	maxRefusedAttempts = 8
	maxBrokenAttempts  = 4
	roomPauseMin       = 50 * time.Millisecond
	roomPauseMax       = 500 * time.Millisecond
)

// tokenSink takes the answer of a model call as it grows.
type tokenSink interface {
	// token takes one token; version is that of the whole answer.
	token(version, text string) error
	// done ends a whole answer.
	done(version string, tokens int) error
	// restart forgets the tokens of an answer that starts anew.
	restart()
	// delivered reports whether the caller has seen a part of the answer.
	delivered() bool
}

// modelCall runs one call of a model over as many attempts as it needs. The
// answer is bound to one version of the model once a token was made.
type modelCall struct {
	*call
	svc       *callService
	model     string
	prompt    string
	prefix    uint64
	maxTokens int
	sink      tokenSink

	bound    core.ModelRef
	produced []string
	begun    bool
	refused  int
	broken   int
	tried    []core.InstanceID
	handle   string
	// resumes is set while the next attempt goes on with a broken answer.
	resumes bool
	suspect bool
}

// run blocks until the answer is whole, or returns *RefusedError.
func (m *modelCall) run(ctx context.Context) error {
	m.svc.countCall()
	for {
		m.suspect = m.svc.quarantine.suspect(m.fingerprint)
		taken, err := m.svc.dispatcher.acquire(ctx, m.waiting(), m.request())
		if err != nil {
			if m.rebind(err) || m.waitForRoom(ctx, err) {
				continue
			}
			return m.refusal(m.versionGone(err))
		}
		end := m.attempt(ctx, taken)
		if end.refused == nil {
			taken.release()
		}
		if end.done != nil {
			return m.finish(end.done)
		}
		if err := m.next(ctx, taken.EndpointState, end); err != nil {
			return err
		}
	}
}

func (m *modelCall) waiting() routing.Call {
	return m.routingCall(max(1, m.maxTokens-len(m.produced)), true, m.suspect)
}

func (m *modelCall) request() routing.Request {
	return routing.Request{
		Rank:         m.rank,
		Model:        m.wanted(),
		Prefix:       m.prefix,
		Suspect:      m.suspect,
		Continuation: len(m.produced) > 0,
		Exclude:      m.tried,
	}
}

// wanted returns the version that the answer is bound to, or any version of
// the model before the first token.
func (m *modelCall) wanted() core.ModelRef {
	if m.bound.IsZero() {
		return core.ModelRef{Model: m.model}
	}
	return m.bound
}

// rebind starts the answer anew with any version when no endpoint serves the
// bound one and the caller has seen nothing of it.
func (m *modelCall) rebind(err error) bool {
	if m.bound.IsZero() || m.sink.delivered() {
		return false
	}
	var refused *RefusedError
	if !errors.As(err, &refused) || m.served() {
		return false
	}
	m.startAnew()
	return true
}

// startAnew forgets an answer that the caller has seen nothing of.
func (m *modelCall) startAnew() {
	m.bound = core.ModelRef{}
	m.produced = nil
	m.resumes = false
	m.handle = ""
	m.sink.restart()
}

// boundOpen reports whether an endpoint that takes new calls serves the
// version of the answer.
func (m *modelCall) boundOpen() bool {
	table := m.svc.dispatcher.routes.table.Load()
	for i := range table.Len() {
		e := table.Endpoint(i)
		if e.Model == m.bound && !e.Draining && !e.Leaving {
			return true
		}
	}
	return false
}

// waitForRoom keeps a call that has begun from being shed: its caller is owed
// the rest of the answer, so that it tries again until its deadline, or until
// no endpoint serves its version.
func (m *modelCall) waitForRoom(ctx context.Context, err error) bool {
	var refused *RefusedError
	if !m.begun || !errors.As(err, &refused) || refused.Code != CodeOverload {
		return false
	}
	if !m.served() {
		return false
	}
	delay.For(ctx, min(max(refused.RetryAfter, roomPauseMin), roomPauseMax))
	return ctx.Err() == nil
}

// served reports whether any endpoint serves what the call wants.
func (m *modelCall) served() bool {
	return m.svc.dispatcher.routes.table.Load().Serves("", m.wanted())
}

// versionGone names the cause of a refusal when the answer cannot go on since
// no endpoint serves its version any more.
func (m *modelCall) versionGone(err error) error {
	if m.bound.IsZero() || m.served() {
		return err
	}
	return &RefusedError{
		Status:     http.StatusBadGateway,
		Code:       CodeVersionGone,
		Detail:     "the answer broke and no endpoint serves version " + m.bound.Version + " any more",
		RetryAfter: time.Second,
	}
}

// attempt sends one attempt and keeps its tokens.
func (m *modelCall) attempt(ctx context.Context, to *reservation) attemptEnd {
	ctx, span := m.svc.tracer.Start(ctx, "entry.attempt", trace.WithAttributes(
		attribute.String("instance", string(to.ID)),
	))
	defer span.End()
	if m.resumes {
		m.resumes = false
		m.svc.resumed.Add(1)
	}
	req := m.wireRequest(to)
	return runAttempt(ctx, m.svc.pool, &m.svc.dropped, to.ID, req, func(t *wire.CallToken) error {
		if int(t.GetIndex()) != len(m.produced) {
			return &RefusedError{Code: CodeBroken, Detail: "token out of order"}
		}
		m.bound = to.Model
		if len(m.produced) == 0 {
			m.svc.firstToken(m.rank, m.started)
		}
		m.produced = append(m.produced, t.GetText())
		return m.sink.token(to.Model.Version, t.GetText())
	})
}

func (m *modelCall) wireRequest(to *reservation) *wire.CallRequest {
	return &wire.CallRequest{
		Attempt:      m.svc.attemptID(m.id),
		Call:         m.id,
		Rank:         uint32(m.rank),
		Organisation: string(m.organisation),
		Weight:       m.weight,
		Kind:         m.kind,
		Model:        to.Model.Model,
		Version:      to.Model.Version,
		Manifest:     to.Model.Manifest[:],
		Prompt:       m.prompt,
		MaxTokens:    uint32(m.maxTokens),
		PrefixTokens: m.produced,
		Idempotent:   true,
		DeadlineMs:   uint32(max(0, time.Until(m.deadline).Milliseconds())),
		Fingerprint:  m.fingerprint,
		PromptPrefix: m.prefix,
		Suspect:      m.suspect,
		KvHandle:     m.handle,
		WaitedMs:     uint32(to.waited.Milliseconds()),
	}
}

func (m *modelCall) finish(d *wire.CallDone) error {
	if m.suspect {
		m.svc.quarantine.absolve(m.fingerprint)
	}
	return m.sink.done(d.GetModelVersion(), len(m.produced))
}

// next decides whether another attempt follows; nil means yes.
func (m *modelCall) next(ctx context.Context, at routing.EndpointState, end attemptEnd) error {
	// An attempt that was not refused may have begun, also at a deadline.
	m.begun = m.begun || !refusedNotRun(end)
	if ctx.Err() != nil {
		return m.refusal(ctx.Err())
	}
	m.tried = append(m.tried, at.ID)
	if end.refused != nil {
		return m.afterRefusal(ctx, end.refused)
	}
	return m.afterBreak(at, end.broken)
}

func (m *modelCall) afterRefusal(ctx context.Context, r *wire.CallRefused) error {
	m.refused++
	stuck := r.GetCode() == agent.CodeDraining && !m.bound.IsZero() && !m.boundOpen()
	if stuck && !m.sink.delivered() {
		m.startAnew()
		return nil
	}
	if m.refused < maxRefusedAttempts && r.GetCode() != agent.CodePatience {
		return nil
	}
	refused := &RefusedError{
		Status:     http.StatusTooManyRequests,
		Code:       CodeOverload,
		Detail:     "endpoints refused the call: " + r.GetCode(),
		RetryAfter: time.Duration(r.GetRetryAfterMs()) * time.Millisecond,
	}
	if m.waitForRoom(ctx, refused) {
		return nil
	}
	return m.refusal(refused)
}

func (m *modelCall) afterBreak(at routing.EndpointState, b *wire.CallBroken) error {
	m.handle = b.GetKvHandle()
	m.resumes = len(m.produced) > 0
	if b.GetCode() == agent.CodeMoved {
		return nil
	}
	m.broken++
	m.svc.strike(m.fingerprint, at.ID, b)
	if wait, ok := m.svc.quarantine.refused(m.fingerprint); ok {
		return m.refusal(quarantineRefusal(wait))
	}
	if m.broken >= maxBrokenAttempts || !m.svc.retryAllowed() {
		return m.refusal(&RefusedError{
			Status:     http.StatusBadGateway,
			Code:       CodeRetriesExceeded,
			Detail:     strconv.Itoa(m.broken) + " attempts broke",
			RetryAfter: time.Second,
		})
	}
	return nil
}

// refusal returns the final refusal; it is not-run only if no endpoint can
// have begun the call.
func (m *modelCall) refusal(err error) error {
	return finalRefusal(err, m.begun)
}

func quarantineRefusal(wait time.Duration) *RefusedError {
	return &RefusedError{
		Status:     http.StatusUnprocessableEntity,
		Code:       CodeQuarantined,
		Detail:     "the request was in flight at two endpoint crashes",
		RetryAfter: wait,
	}
}

// finalRefusal turns any error into the refusal that the caller gets.
func finalRefusal(err error, begun bool) *RefusedError {
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
	final.Unknown = final.Unknown || begun
	return &final
}
