package wire

import (
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/core"
)

// ErrSessionClosed reports an operation on a session that has ended.
var ErrSessionClosed = eris.New("session is closed")

// ErrBadTag reports an authentication tag of a datagram, or a proof in a
// handshake, that does not match.
var ErrBadTag = eris.New("authentication tag does not match")

// HandshakeError reports a failed handshake: the peer did not prove that it
// holds the fleet key.
type HandshakeError struct {
	Peer  string
	Cause error
}

// Error implements error.
func (e *HandshakeError) Error() string {
	return fmt.Sprintf("handshake with %s failed: %v", e.Peer, e.Cause)
}

// Unwrap returns the cause.
func (e *HandshakeError) Unwrap() error {
	return e.Cause
}

// DialError reports a peer that cannot be reached.
type DialError struct {
	Addr  string
	Cause error
}

// Error implements error.
func (e *DialError) Error() string {
	return fmt.Sprintf("peer %s cannot be reached: %v", e.Addr, e.Cause)
}

// Unwrap returns the cause.
func (e *DialError) Unwrap() error {
	return e.Cause
}

// SendError reports a failed send. The peer may have received the message in
// part or in full.
type SendError struct {
	Peer  core.InstanceID
	Cause error
}

// Error implements error.
func (e *SendError) Error() string {
	return fmt.Sprintf("message to %s may not have arrived: %v", e.Peer, e.Cause)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error {
	return e.Cause
}

// DatagramSizeError reports a datagram larger than MaxDatagramSize.
type DatagramSizeError struct {
	Size int // Bytes.
}

// Error implements error.
func (e *DatagramSizeError) Error() string {
	return fmt.Sprintf("datagram of %d bytes exceeds %d", e.Size, MaxDatagramSize)
}
