package weights

import "time"

// inFlightRequest is a request without an answer yet.
type inFlightRequest struct {
	source Source
	sentAt time.Time
}

// chunkState is a Picker's state of one chunk.
type chunkState struct {
	stored         bool
	holders        int  // Connected neighbours that hold the chunk.
	seen           bool // Stored, or held by a neighbour at some time.
	inFlight       []inFlightRequest
	retryAt        time.Time
	firstRefusedAt time.Time // When a peer first refused the chunk.
	refusals       []refusal // One for each peer that refused.
	// pausedUntil is when a holder can next be requested, after none could.
	pausedUntil time.Time
	// failedAttempts counts failed requests to peers, without refusals and
	// lost neighbours.
	failedAttempts int
}
