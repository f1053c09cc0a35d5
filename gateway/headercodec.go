package gateway

import (
	"net/http"
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/directory"
)

// RequestMetadata is the metadata in a caller's request header.
type RequestMetadata struct {
	ID  string // Identifies the caller's attempt; empty if not given.
	Key string // The caller's key; empty if not given.
	// TimeLeft is how long the caller will wait; 0 if not given.
	TimeLeft time.Duration
	// PromptTokens and OutputTokens are the size of a generation, 0 if not
	// given.
	PromptTokens, OutputTokens int
	// SharedParts are the IDs of the parts of the prompt that it may share with those of
	// other requests, in order.
	SharedParts []string
	// LengthHint is the number of output tokens that the caller expects, 0 if not
	// given. It is accurate only at the median.
	LengthHint int
	// LastEventID is the ID of the last event that the caller received of a
	// stream that it resumes.
	LastEventID string
}

// ForwardMetadata is the metadata that the gateway adds to the header for an endpoint.
type ForwardMetadata struct {
	Endpoint *directory.Endpoint
	// Organisation is empty for callers without a key.
	Organisation core.OrganisationID
	// TimeLeft is the time until the deadline; 0 for no limit.
	TimeLeft time.Duration
	// Rank orders requests that are queued at the endpoint, 0 first.
	Rank int
	// LastEventID replaces the caller's LastEventID when a stream resumes at another
	// endpoint.
	LastEventID string
}

// ResponseMetadata is the metadata in an endpoint's response header.
type ResponseMetadata struct {
	ID string // The caller's attempt that the response belongs to.
	// NotRun says that the endpoint did not and will not run the request.
	NotRun bool
	// Encoded says that the body has a content encoding and so is not the
	// endpoint's own.
	Encoded bool
	// Running and Waiting are the endpoint's load, valid if HasLoad is set.
	HasLoad          bool
	Running, Waiting int
	// Slowdown is the factor by which work takes longer than usual at the endpoint now; 0 if
	// unknown. SlowdownError says what is wrong with a figure that the header has, empty if
	// nothing.
	Slowdown      float64
	SlowdownError SlowdownError
	// RateLimit is what the response says about the endpoint's rate limit.
	RateLimit AnnouncedRateLimit
	// Leaving says that the endpoint leaves and wants no further requests.
	Leaving bool
	// Rest is how long the endpoint wants no requests from this entry; 0 if it does not say.
	Rest time.Duration
}

// SlowdownError is what is wrong with the figure of an endpoint's slowdown.
type SlowdownError string

// The errors.
const (
	// SlowdownMalformed: the figure is empty or not a number.
	SlowdownMalformed SlowdownError = "malformed"
	// SlowdownOutOfRange: the figure is zero, negative or too large.
	SlowdownOutOfRange SlowdownError = "out of range"
)

// HeaderCodec translates between headers on the wire and metadata.
type HeaderCodec interface {
	// ReadRequest reads a caller's header. It returns an error for a malformed one.
	ReadRequest(h http.Header) (RequestMetadata, error)
	// Forward returns the header for an endpoint.
	Forward(caller http.Header, d ForwardMetadata) http.Header
	// ReadResponse reads the header of an endpoint's response.
	ReadResponse(status int, h http.Header) ResponseMetadata
}
