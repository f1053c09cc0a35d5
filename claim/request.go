package claim

import "github.com/snipestep/snipestep/core"

// Request asks for the single run of a key.
type Request struct {
	// Key names the call. It includes the organisation.
	Key string
	// Claim identifies this request. It is never used again, also not
	// after an error.
	Claim string
	// RequestDigest is the digest of the call's body.
	RequestDigest core.Digest
}
