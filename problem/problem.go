package problem

import "net/http"

// ContentType is the media type of a problem document.
const ContentType = "application/problem+json"

// TypeBlank is the problem type that means no more than the HTTP status.
const TypeBlank = "about:blank"

// The values of Problem.Execution.
const (
	// ExecutionNotStarted means that no endpoint can have started the call.
	ExecutionNotStarted = "not-run"
	// ExecutionUnknown means that an endpoint may have started the call.
	ExecutionUnknown = "unknown"
)

// Problem is one problem document.
type Problem struct {
	// Type is a URI reference, TypeBlank by default.
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Code is the machine-readable error code, e.g. "plan-stale".
	Code string `json:"code,omitempty"`
	// Execution says whether an endpoint may have started a caller's failed call. It is
	// empty in other problems.
	Execution string `json:"run,omitempty"`
	// RetryAfterMS is the delay in milliseconds after which a retry is worthwhile;
	// 0 for none.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Fields are the invalid inputs.
	Fields []Field `json:"fields,omitempty"`
	// Plan and Generation identify the plan that won a conflict.
	Plan       string `json:"plan,omitempty"`
	Generation uint64 `json:"generation,omitempty"`
}

// Field is an invalid input.
type Field struct {
	Name   string `json:"name"`
	Detail string `json:"detail"`
}

// New returns a problem whose title is the text of the HTTP status.
func New(status int, code, detail string) *Problem {
	return &Problem{
		Type:   TypeBlank,
		Title:  http.StatusText(status),
		Status: status,
		Code:   code,
		Detail: detail,
	}
}
