package core

import (
	"encoding/hex"
	"fmt"

	"github.com/zeebo/blake3"
)

// DigestSize is the length of a Digest in bytes.
const DigestSize = 32

// Digest is a BLAKE3-256 digest.
type Digest [DigestSize]byte

// DigestFormatError reports text that is not a hexadecimal digest.
type DigestFormatError struct {
	Text string
}

// Error implements error.
func (e *DigestFormatError) Error() string {
	return fmt.Sprintf("%q is not a digest of %d hexadecimal bytes", e.Text, DigestSize)
}

// SumDigest returns the digest of data.
func SumDigest(data []byte) Digest {
	return blake3.Sum256(data)
}

// ParseDigest decodes a hexadecimal digest. It returns *DigestFormatError.
func ParseDigest(text string) (Digest, error) {
	var d Digest
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != DigestSize {
		return d, &DigestFormatError{Text: text}
	}
	copy(d[:], raw)
	return d, nil
}

// IsZero reports whether the digest is unset.
func (d Digest) IsZero() bool {
	return d == Digest{}
}

// String returns the digest in hexadecimal.
func (d Digest) String() string {
	return hex.EncodeToString(d[:])
}

// MarshalText encodes the digest in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText decodes a hexadecimal digest.
func (d *Digest) UnmarshalText(text []byte) error {
	parsed, err := ParseDigest(string(text))
	if err != nil {
		return err
	}
	*d = parsed
	return nil
}
