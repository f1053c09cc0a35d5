package swarm

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
)

// nonceSize is the length of a nonce in bytes.
const nonceSize = 16

// The labels prevent replaying a proof in the other direction.
const (
	clientLabel = "snipestep chunk client"
	serverLabel = "snipestep chunk server"
)

func newNonce() []byte {
	nonce := make([]byte, nonceSize)
	_, _ = rand.Read(nonce) // Never fails.
	return nonce
}

// proof returns the HMAC under key of label and parts. Each part is preceded by
// its length.
func proof(key []byte, label string, parts ...[]byte) []byte {
	mac := hmac.New(sha256.New, key)
	_, _ = mac.Write([]byte(label))
	for _, part := range parts {
		_, _ = mac.Write([]byte{byte(len(part) >> 8), byte(len(part))})
		_, _ = mac.Write(part)
	}
	return mac.Sum(nil)
}
