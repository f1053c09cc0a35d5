package swarm

import (
	"time"

	"github.com/snipestep/snipestep/weights"
	"github.com/snipestep/snipestep/wire"
)

// event is an input to the loop goroutine of a transfer.
type event interface{}

// haveEvent is an announcement from a watched peer.
type haveEvent struct {
	conn *clientConn
	have *wire.ChunkHave
}

// storedEvent reports that a chunk was verified and stored.
type storedEvent struct {
	chunk  int
	source weights.Source
	served int
}

// failedEvent reports a request that ended without a verified chunk.
type failedEvent struct {
	chunk      int
	source     weights.Source
	failure    weights.Failure
	retryAfter time.Duration
	served     int
}

// closedEvent reports the end of a connection.
type closedEvent struct {
	conn *clientConn
	err  error
}
