package entry

import (
	"context"
	"errors"
	"sync/atomic"

	"github.com/snipestep/snipestep/agent"
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/internal/heldbytes"
	"github.com/snipestep/snipestep/telemetry"
	"github.com/snipestep/snipestep/wire"
)

// attemptResult is the result of one attempt; exactly one field is set.
type attemptResult struct {
	done    *wire.CallDone
	refused *wire.CallRefused
	broken  *wire.CallBroken
}

// isRefusedNotRun reports whether the endpoint certainly has not begun the call.
func isRefusedNotRun(result attemptResult) bool {
	return result.refused != nil && result.refused.GetRun() == wire.Run_RUN_NOT_RUN
}

// Codes of attempts that ended without a final event from the agent.
const (
	codeNoSession          = "no_session"
	codeSessionLost        = "session_lost"
	codeResponseNotWritten = "answer_not_taken" // Writing to the caller failed.
	// codeNoRoom ends an attempt whose answer found no room in the memory of this entry, as the
	// agent's code does for its own memory.
	codeNoRoom = agent.CodeNoRoom
)

// runAttempt sends one attempt to an agent and reads its events, calling
// onToken for each token in order. It blocks until the attempt or ctx ends; at
// the end of ctx it closes the stream, which cancels the attempt at the agent. held counts the
// answer.
func runAttempt(ctx context.Context, pool *sessionPool, droppedEvents *atomic.Int64, instance core.InstanceID, req *wire.CallRequest, held *heldbytes.Held, onToken func(*wire.CallToken) error) attemptResult {
	session := pool.lookup(instance)
	if session == nil {
		return noSessionResult()
	}
	stream, err := session.OpenStream(&wire.StreamHeader{
		Request:     &wire.StreamHeader_Call{Call: req},
		Traceparent: telemetry.Inject(ctx),
	})
	if errors.Is(err, wire.ErrSessionClosed) {
		return noSessionResult()
	}
	if err != nil {
		return sessionLostResult(err)
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { stream.Close() })
	defer stop()
	return readEvents(stream, req.GetAttempt(), droppedEvents, held, onToken)
}

// readEvents reads until the final event. Events of other attempts are counted
// in droppedEvents.
func readEvents(stream *wire.Stream, attempt string, droppedEvents *atomic.Int64, held *heldbytes.Held, onToken func(*wire.CallToken) error) attemptResult {
	for {
		var e wire.CallEvent
		before := held.Size()
		if err := stream.RecvHeld(&e, held); err != nil {
			return lostResult(err)
		}
		if e.GetAttempt() != attempt {
			droppedEvents.Add(1)
			if err := held.SetBytes(before); err != nil {
				return lostResult(err)
			}
			continue
		}
		switch event := e.GetEvent().(type) {
		case *wire.CallEvent_Token:
			if err := onToken(event.Token); err != nil {
				return attemptResult{broken: &wire.CallBroken{Code: codeResponseNotWritten, Detail: err.Error()}}
			}
		case *wire.CallEvent_Done:
			return attemptResult{done: event.Done}
		case *wire.CallEvent_Refused:
			return attemptResult{refused: event.Refused}
		case *wire.CallEvent_Broken:
			return attemptResult{broken: event.Broken}
		}
	}
}

// lostResult returns the result of an attempt whose stream ended early. An answer without room says
// nothing of the session.
func lostResult(err error) attemptResult {
	if errors.Is(err, heldbytes.ErrNoRoom) {
		return noRoomResult()
	}
	return sessionLostResult(err)
}

func noRoomResult() attemptResult {
	return attemptResult{broken: &wire.CallBroken{Code: codeNoRoom, Detail: heldbytes.ErrNoRoom.Error()}}
}

func noSessionResult() attemptResult {
	return attemptResult{refused: &wire.CallRefused{Code: codeNoSession, Run: wire.Run_RUN_NOT_RUN}}
}

func sessionLostResult(err error) attemptResult {
	return attemptResult{broken: &wire.CallBroken{Code: codeSessionLost, Detail: err.Error()}}
}
