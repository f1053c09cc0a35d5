package claim

import "github.com/snipestep/snipestep/core"

// Request claims a key for the only run of its call.
type Request struct {
	// Key identifies the call. It includes the organisation.
	Key string
	// ClaimID identifies this request. It must not be used again, not even
	// after an error.
	ClaimID string
	// RequestDigest is the digest of the call's body.
	RequestDigest core.Digest
}
