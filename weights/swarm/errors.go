package swarm

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// ErrStopped reports a call on a node that has stopped.
var ErrStopped = eris.New("chunk node has stopped")

// ErrStalled reports a connection that delivered no bytes for StallTimeout.
var ErrStalled = eris.New("chunk connection has stalled")

// ErrAuthenticationFailed reports a peer that does not hold the fleet key.
var ErrAuthenticationFailed = eris.New("peer failed authentication")

// errSendQueueFull reports a connection whose send queue is full because the
// peer does not accept frames fast enough.
var errSendQueueFull = eris.New("send queue of chunk connection is full")

// ConfigError reports a missing or invalid field of Config or Deps.
type ConfigError struct {
	Field string
}

// Error implements error.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("chunk node: %s is missing or out of range", e.Field)
}

// FrameError reports a frame that violates the chunk protocol.
type FrameError struct {
	Detail string
}

// Error implements error.
func (e *FrameError) Error() string {
	return "malformed chunk frame: " + e.Detail
}
