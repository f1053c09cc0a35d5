package gateway

import (
	"net/http"
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/directory"
)

// Call is what a caller says of a request.
type Call struct {
	ID  string // Identifies this attempt of the caller; empty if not given.
	Key string // The caller's key; empty if not given.
	// Left is how long the caller will wait; 0 if not given.
	Left time.Duration
	// PromptTokens and AnswerTokens are the size of a generation, 0 if not
	// given.
	PromptTokens, AnswerTokens int
	// Hint is how many tokens the caller expects in the answer, 0 if not
	// given. It is right at the median only.
	Hint int
	// LastEvent is the last event that the caller has of a resumed stream.
	LastEvent string
}

// Dispatch is what an endpoint is told of a request beside the caller's own
// header.
type Dispatch struct {
	Endpoint *directory.Endpoint
	// Organisation is empty for callers without a key.
	Organisation core.OrganisationID
	// Left is the time after which the answer is of no use; 0 for no bound.
	Left time.Duration
	// Rank orders requests that wait at the endpoint, 0 first.
	Rank int
	// LastEvent replaces the caller's where a stream goes on elsewhere.
	LastEvent string
}

// Answer is what an endpoint says of a request in its header.
type Answer struct {
	ID string // The attempt that the answer belongs to.
	// NotRun says that the endpoint did not and will not run the request.
	NotRun bool
	// Encoded bodies are not the endpoint's own.
	Encoded bool
	// Load is how busy the endpoint was; valid if HasLoad is set.
	HasLoad          bool
	Running, Waiting int
}

// Dialect translates the headers between callers, entries and endpoints.
type Dialect interface {
	// ReadCall reads a caller's header. The error describes a malformed one.
	ReadCall(h http.Header) (Call, error)
	// Forward returns the header for an endpoint.
	Forward(caller http.Header, d Dispatch) http.Header
	// ReadAnswer reads an endpoint's header.
	ReadAnswer(status int, h http.Header) Answer
}
