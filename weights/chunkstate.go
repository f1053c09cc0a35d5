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
	// pausedUntil is when the chunk can next be requested from a holder, after
	// no holder was available.
	pausedUntil time.Time
	// failedAttempts counts failed requests to peers, without refusals and
	// lost neighbours.
	failedAttempts int
}
