package claim

import "time"

// VerdictKind is the answer to a Request.
type VerdictKind uint8

// The answers to a Request.
const (
	// Refused means that the key was not claimed and nothing will run
	// under this claim.
	Refused VerdictKind = iota
	// Granted means that the caller may run the call, once.
	Granted
	// Held means that another claim holds the key and its outcome is not
	// known.
	Held
	// Done means that the call has run and its outcome is known.
	Done
	// Mismatch means that the key was used with another request body.
	Mismatch
)

var verdictNames = [...]string{"refused", "granted", "held", "done", "mismatch"}

// String returns the verdict's name.
func (k VerdictKind) String() string {
	if int(k) >= len(verdictNames) {
		return "unknown"
	}
	return verdictNames[k]
}

// Verdict is the answer to a Request.
type Verdict struct {
	Kind VerdictKind
	// Status and Body are the outcome, for Done.
	Status int
	Body   []byte
	// BodyOmitted reports that the body was longer than MaxBodySize.
	BodyOmitted bool
	// RetryAfter is how long to wait before the next request, for Refused.
	RetryAfter time.Duration
}
