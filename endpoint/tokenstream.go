package endpoint

import "io"

// TokenStream is the answer to Generate. Only one goroutine may call Next.
type TokenStream interface {
	// Next blocks until the next event. It returns io.EOF after the event
	// with Done, *ForeignAnswerError for an event of another attempt, after
	// which Next may be called again, and *BrokenError when the stream ended
	// without Done.
	Next() (Token, error)
	// Close ends the stream. It may be called at any time, also twice.
	io.Closer
}
