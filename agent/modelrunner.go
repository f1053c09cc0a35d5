package agent

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"slices"
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/endpoint"
	"github.com/snipestep/snipestep/internal/heldbytes"
	"github.com/snipestep/snipestep/wire"
)

const engineCancelTimeout = 2 * time.Second

// modelRunner runs model calls at the engine.
type modelRunner struct {
	engine   endpoint.Engine
	state    *endpointState
	sched    *scheduler
	counters *counters
	answers  *heldbytes.Budget
	logger   *slog.Logger
}

// run implements runner.
func (m *modelRunner) run(ctx context.Context, j *job, send sendFunc) *wire.CallEvent {
	serving := m.state.serving()
	if !m.serves(serving, j.req) {
		return callRefusedEvent(j, refusal{code: CodeWrongModel})
	}
	run := newEngineRun(ctx, m, j)
	defer run.finish()
	// The request has a copy of the tokens so far.
	if err := j.held.AddBytes(j.generatedBytes); err != nil {
		return callNoRoomEvent(j)
	}
	defer func() { _ = j.held.SetBytes(j.generatedBytes) }()
	request := generateRequest(j, serving)
	request.OnNotice = m.sched.noticeHandler()
	request.Held = j.held
	stream, err := m.engine.Generate(run.streamCtx, request)
	if err != nil {
		return m.failureEvent(ctx, j, err)
	}
	defer stream.Close()
	j.mayHaveStarted = true
	finalEvent := m.forward(ctx, j, stream, send)
	if ctx.Err() == nil || finalEvent.GetDone() != nil {
		return finalEvent
	}
	run.finish()
	if errors.Is(context.Cause(ctx), errMoved) {
		return callBrokenEvent(j, CodeMoved, run.cacheHandle, errMoved.Error())
	}
	return finalEvent
}

// exportCache exports the call's KV cache for the endpoint where the call
// continues. The handle is empty if the export fails or finds no room in memory.
func (m *modelRunner) exportCache(j *job) string {
	ctx, cancel := context.WithTimeout(context.Background(), engineCancelTimeout)
	defer cancel()
	ctx, evict := context.WithCancelCause(ctx)
	defer evict(nil)
	held := m.answers.Hold(ctx, answerOwner, evict)
	handle, err := m.engine.ExportCache(ctx, j.req.GetAttempt(), held)
	if err == nil {
		err = held.Finish()
	}
	if err != nil {
		held.Release()
		return ""
	}
	j.exported = held
	return handle
}

func (m *modelRunner) serves(serving core.ModelRef, req *wire.CallRequest) bool {
	return !serving.IsZero() && serving == core.ModelRef{
		Model:    req.GetModel(),
		Version:  req.GetVersion(),
		Manifest: wire.DigestFromBytes(req.GetManifest()),
	}
}

func generateRequest(j *job, serving core.ModelRef) endpoint.GenerateRequest {
	return endpoint.GenerateRequest{
		Attempt:      j.req.GetAttempt(),
		Prompt:       j.req.GetPrompt(),
		MaxTokens:    int(j.req.GetMaxTokens()),
		PrefixTokens: slices.Concat(j.req.GetPrefixTokens(), j.generated),
		Priority:     int(j.call.Rank),
		CacheHandle:  j.req.GetKvHandle(),
		Model:        serving,
	}
}

// forward sends the stream's tokens in order. Tokens of another attempt are
// dropped; a token out of order, or more tokens than requested, break the attempt.
func (m *modelRunner) forward(ctx context.Context, j *job, stream endpoint.TokenStream, send sendFunc) *wire.CallEvent {
	nextIndex := len(j.req.GetPrefixTokens()) + len(j.generated)
	for {
		token, err := stream.Next()
		var mismatched *endpoint.AttemptMismatchError
		if errors.As(err, &mismatched) {
			m.counters.misdelivered.Add(1)
			continue
		}
		if err != nil {
			return m.failureEvent(ctx, j, unexpectedEOF(err))
		}
		if token.Version != j.req.GetVersion() {
			m.state.markDown()
			return callBrokenEvent(j, CodeWrongModel, "", "engine answered with another version")
		}
		if token.Done {
			return callDoneEvent(j, &wire.CallDone{Tokens: uint32(nextIndex), ModelVersion: token.Version})
		}
		if token.Index != nextIndex {
			return callBrokenEvent(j, CodeOutcomeUnknown, "", "engine sent a token out of order")
		}
		if nextIndex >= int(j.req.GetMaxTokens()) {
			return callBrokenEvent(j, CodeOutcomeUnknown, "", "engine sent more tokens than requested")
		}
		if ctx.Err() != nil {
			return callBrokenEvent(j, CodeMoved, "", context.Cause(ctx).Error())
		}
		if err := send(callTokenEvent(j, nextIndex, token.Text)); err != nil {
			return callBrokenEvent(j, CodeOutcomeUnknown, "", err.Error())
		}
		if err := j.keepToken(token.Text); err != nil {
			return callNoRoomEvent(j)
		}
		nextIndex++
		m.sched.post(tokensEvent{id: j.call.ID, tokens: 1})
	}
}

func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// failureEvent converts an engine's error to the attempt's final event.
func (m *modelRunner) failureEvent(ctx context.Context, j *job, err error) *wire.CallEvent {
	logBrokenResponse(m.logger, j, err)
	var notStarted *endpoint.NotStartedError
	if errors.As(err, &notStarted) {
		restAfter(m.sched, err)
		if ctx.Err() == nil {
			m.state.markDown()
		}
		return callRefusedEvent(j, refusal{code: CodeNotStarted, detail: err.Error()})
	}
	if errors.Is(err, heldbytes.ErrNoRoom) {
		return callNoRoomEvent(j)
	}
	j.mayHaveStarted = true
	if ctx.Err() != nil {
		return callBrokenEvent(j, CodeMoved, "", context.Cause(ctx).Error())
	}
	var mismatched *endpoint.AttemptMismatchError
	if errors.As(err, &mismatched) {
		restAfter(m.sched, err)
		m.counters.misdelivered.Add(1)
		return callBrokenEvent(j, CodeOutcomeUnknown, "", err.Error())
	}
	crash := m.state.markDown()
	return callBrokenEvent(j, CodeCrash, "", crash)
}

// cancelAtEngine frees the engine's slot of an interrupted call.
func (m *modelRunner) cancelAtEngine(j *job) {
	ctx, cancel := context.WithTimeout(context.Background(), engineCancelTimeout)
	defer cancel()
	_ = m.engine.Cancel(ctx, j.req.GetAttempt())
}
