package agent

import "github.com/snipestep/snipestep/wire"

// refusedEvent ends a job that is not run. A job that has begun is broken
// instead, so that the entry resumes it elsewhere.
func refusedEvent(j *job, r refusal) *wire.CallEvent {
	if j.begun {
		return brokenEvent(j, CodeMoved, "", r.code)
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

func brokenEvent(j *job, code, handle, detail string) *wire.CallEvent {
	return &wire.CallEvent{
		Attempt: j.req.GetAttempt(),
		Event: &wire.CallEvent_Broken{Broken: &wire.CallBroken{
			Code:     code,
			KvHandle: handle,
			Detail:   detail,
		}},
	}
}

func tokenEvent(j *job, index int, text string) *wire.CallEvent {
	return &wire.CallEvent{
		Attempt: j.req.GetAttempt(),
		Event:   &wire.CallEvent_Token{Token: &wire.CallToken{Index: uint32(index), Text: text}},
	}
}

func doneEventOf(j *job, d *wire.CallDone) *wire.CallEvent {
	return &wire.CallEvent{
		Attempt: j.req.GetAttempt(),
		Event:   &wire.CallEvent_Done{Done: d},
	}
}
