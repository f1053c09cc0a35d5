package entry

import (
	"context"
	"errors"
	"sync/atomic"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/telemetry"
	"github.com/snipestep/snipestep/wire"
)

// attemptEnd is how one attempt of a call ended; exactly one field is set.
type attemptEnd struct {
	done    *wire.CallDone
	refused *wire.CallRefused
	broken  *wire.CallBroken
}

// refusedNotRun reports whether the endpoint certainly has not begun.
func refusedNotRun(end attemptEnd) bool {
	return end.refused != nil && end.refused.GetRun() == wire.Run_RUN_NOT_RUN
}

// Codes of attempts that ended without an event of the agent.
const (
	codeNoSession   = "no_session"
	codeSessionLost = "session_lost"
	codeNotTaken    = "answer_not_taken" // By the caller.
)

// runAttempt sends one attempt to an agent and reads its events. onToken gets
// the tokens in order. It blocks until the attempt ends or ctx ends; closing
// the stream then tells the agent to stop.
func runAttempt(ctx context.Context, pool *sessionPool, dropped *atomic.Int64, to core.InstanceID, req *wire.CallRequest, onToken func(*wire.CallToken) error) attemptEnd {
	session := pool.open(to)
	if session == nil {
		return notSent()
	}
	st, err := session.OpenStream(&wire.StreamHeader{
		Request:     &wire.StreamHeader_Call{Call: req},
		Traceparent: telemetry.Inject(ctx),
	})
	if errors.Is(err, wire.ErrSessionClosed) {
		return notSent()
	}
	if err != nil {
		return lost(err)
	}
	defer st.Close()
	stop := context.AfterFunc(ctx, func() { st.Close() })
	defer stop()
	return readEvents(st, req.GetAttempt(), dropped, onToken)
}

// readEvents reads until the final event. Events of other attempts are
// counted as dropped.
func readEvents(st *wire.Stream, attempt string, dropped *atomic.Int64, onToken func(*wire.CallToken) error) attemptEnd {
	for {
		var e wire.CallEvent
		if err := st.Recv(&e); err != nil {
			return lost(err)
		}
		if e.GetAttempt() != attempt {
			dropped.Add(1)
			continue
		}
		switch event := e.GetEvent().(type) {
		case *wire.CallEvent_Token:
			if err := onToken(event.Token); err != nil {
				return attemptEnd{broken: &wire.CallBroken{Code: codeNotTaken, Detail: err.Error()}}
			}
		case *wire.CallEvent_Done:
			return attemptEnd{done: event.Done}
		case *wire.CallEvent_Refused:
			return attemptEnd{refused: event.Refused}
		case *wire.CallEvent_Broken:
			return attemptEnd{broken: event.Broken}
		}
	}
}

func notSent() attemptEnd {
	return attemptEnd{refused: &wire.CallRefused{Code: codeNoSession, Run: wire.Run_RUN_NOT_RUN}}
}

func lost(err error) attemptEnd {
	return attemptEnd{broken: &wire.CallBroken{Code: codeSessionLost, Detail: err.Error()}}
}
