package weights

// Failure is the reason why a request ended without a verified chunk.
type Failure uint8

// The reasons for failed requests.
const (
	// FailureRefused means that the peer is busy or leaves the request to
	// other holders.
	FailureRefused Failure = iota
	// FailureMissing means that the peer did not obtain the chunk in time.
	FailureMissing
	// FailureCorrupt means that the bytes did not match the manifest.
	FailureCorrupt
	// FailureLimited means that the origin or the store refused the request
	// by its rate limit.
	FailureLimited
	// FailureUnavailable means that the origin or the store did not answer.
	FailureUnavailable
)
