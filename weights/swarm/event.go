package swarm

import (
	"time"

	"github.com/snipestep/snipestep/weights"
	"github.com/snipestep/snipestep/wire"
)

// event is something that happened to a transfer, for its single goroutine.
type event interface{}

// haveEvent is an announcement of a watched peer.
type haveEvent struct {
	link *link
	have *wire.ChunkHave
}

// storedEvent is a verified chunk.
type storedEvent struct {
	chunk  int
	source weights.Source
	served int
}

// failedEvent is a request without a verified chunk.
type failedEvent struct {
	chunk      int
	source     weights.Source
	failure    weights.Failure
	retryAfter time.Duration
	served     int
}

// closedEvent is the end of a link.
type closedEvent struct {
	link *link
	err  error
}
