package load

import "time"

// Outcome is how a call ended for its caller.
type Outcome uint8

// The outcomes of calls, from best to worst. A call that is sent several times has
// the best outcome of its sends.
const (
	OutcomeAnswered Outcome = iota
	OutcomeUnknown
	OutcomeFailed
	OutcomeNotRun
)

// sendResult describes the end of one send of a call.
type sendResult struct {
	outcome        Outcome
	code           string // Problem code of a refusal.
	retryAfter     time.Duration
	firstTokenAt   time.Time // Zero without a token.
	interTokenGaps []time.Duration
	wrong          bool // The response differs from the expected one and is no prefix of it.
	partial        bool // The response is a proper prefix of the expected one.
	falseNotRun    bool // Refused as not run although the call had begun.
}

// ttftTargets are the highest times to first token that count as within target, by
// rank.
var ttftTargets = [...]time.Duration{
	690 * time.Millisecond,
	2 * time.Second,
	10 * time.Second,
}
