package endpoint

import "io"

// TokenStream is the stream of events that Generate returns. Only one goroutine
// may call Next.
type TokenStream interface {
	// Next blocks until the next event. It returns io.EOF after the event
	// with Done, *AttemptMismatchError for an event of another attempt, after
	// which Next may be called again, and *BrokenError if the stream ended
	// without Done.
	Next() (Token, error)
	// Close ends the stream. It may be called at any time and more than once.
	io.Closer
}
