package problem

import "net/http"

// ContentType is the media type of a problem document.
const ContentType = "application/problem+json"

// TypeBlank is the problem type without more meaning than its status.
const TypeBlank = "about:blank"

// The values of Problem.Run.
const (
	// RunNotRun says that no endpoint can have begun the call.
	RunNotRun = "not-run"
	// RunUnknown says that an endpoint may have begun the call.
	RunUnknown = "unknown"
)

// Problem is one problem document.
type Problem struct {
	// Type is a URI reference, TypeBlank by default.
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Code names the failure for machines, e.g. "plan-stale".
	Code string `json:"code,omitempty"`
	// Run is RunNotRun or RunUnknown in refusals of callers' calls.
	Run string `json:"run,omitempty"`
	// RetryAfterMS is the time in milliseconds after which another try makes
	// sense; 0 for none.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Fields name the inputs that were refused.
	Fields []Field `json:"fields,omitempty"`
	// Plan and Generation name the winner of a lost race.
	Plan       string `json:"plan,omitempty"`
	Generation uint64 `json:"generation,omitempty"`
}

// Field is one refused input.
type Field struct {
	Name   string `json:"name"`
	Detail string `json:"detail"`
}

// New returns a problem with the status's own title.
func New(status int, code, detail string) *Problem {
	return &Problem{
		Type:   TypeBlank,
		Title:  http.StatusText(status),
		Status: status,
		Code:   code,
		Detail: detail,
	}
}
