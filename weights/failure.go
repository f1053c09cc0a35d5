package weights

// Failure says how a request ended without a verified chunk.
type Failure uint8

// The failures of requests.
const (
	// FailureRefused means that the peer is busy or spreads its load.
	FailureRefused Failure = iota
	// FailureMissing means that the peer did not get the chunk in time.
	FailureMissing
	// FailureCorrupt means that the bytes did not match the manifest.
	FailureCorrupt
	// FailureLimited means that the origin or the store limits calls.
	FailureLimited
	// FailureUnavailable means that the origin or the store did not answer.
	FailureUnavailable
)
