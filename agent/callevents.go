package agent

import (
	"github.com/snipestep/snipestep/internal/heldbytes"
	"github.com/snipestep/snipestep/wire"
)

// callRefusedEvent returns the final event of a job that is not run. A job that
// may have started gets a broken event instead, so that the entry resumes it
// elsewhere.
func callRefusedEvent(j *job, r refusal) *wire.CallEvent {
	if j.mayHaveStarted {
		return callBrokenEvent(j, CodeMoved, "", r.code)
	}
	return &wire.CallEvent{
		Attempt: j.req.GetAttempt(),
		Event: &wire.CallEvent_Refused{Refused: &wire.CallRefused{
			Code:         r.code,
			Run:          wire.Run_RUN_NOT_RUN,
			RetryAfterMs: uint32(r.retryAfter.Milliseconds()),
			Detail:       r.detail,
		}},
	}
}

func callBrokenEvent(j *job, code, cacheHandle, detail string) *wire.CallEvent {
	return &wire.CallEvent{
		Attempt: j.req.GetAttempt(),
		Event: &wire.CallEvent_Broken{Broken: &wire.CallBroken{
			Code:     code,
			KvHandle: cacheHandle,
			Detail:   detail,
		}},
	}
}

// callNoRoomEvent returns the final event of a call whose answer found no room in memory. The
// endpoint may have run it.
func callNoRoomEvent(j *job) *wire.CallEvent {
	j.mayHaveStarted = true
	return callBrokenEvent(j, CodeNoRoom, "", heldbytes.ErrNoRoom.Error())
}

func callTokenEvent(j *job, index int, text string) *wire.CallEvent {
	return &wire.CallEvent{
		Attempt: j.req.GetAttempt(),
		Event:   &wire.CallEvent_Token{Token: &wire.CallToken{Index: uint32(index), Text: text}},
	}
}

func callDoneEvent(j *job, d *wire.CallDone) *wire.CallEvent {
	return &wire.CallEvent{
		Attempt: j.req.GetAttempt(),
		Event:   &wire.CallEvent_Done{Done: d},
	}
}
