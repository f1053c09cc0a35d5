package load

import "time"

// Outcome is how a call ended for its caller.
type Outcome uint8

// The outcomes of calls. Of several sends of one call the caller takes the
// best one; the order of the constants is from best to worst.
const (
	OutcomeAnswered Outcome = iota
	OutcomeUnknown
	OutcomeFailed
	OutcomeNotRun
)

// result is what one send of a call gave.
type result struct {
	outcome    Outcome
	code       string // Of a refusal.
	retryAfter time.Duration
	firstToken time.Time // Zero without a token.
	gaps       []time.Duration
	wrong      bool
	partial    bool
	falseClaim bool // A not-run refusal of a call that had begun.
}

// targets are the times to the first token that count as service within
// target, by rank.
var targets = [...]time.Duration{
	690 * time.Millisecond,
	2 * time.Second,
	10 * time.Second,
}
