package connguard

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

// trailerBody is the body of a response in chunks, which a trailer may follow.
type trailerBody struct {
	io.ReadCloser
	response *http.Response
	progress *Progress
	err      error // Ended the reading.
	accepted atomic.Bool
}

// Read implements io.Reader. At the end it returns *BrokenResponseError if the trailer is none.
func (b *trailerBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.err = b.end(err)
	}
	return n, b.err
}

// end returns the error for the end of the body, and decides what becomes of the connection.
func (b *trailerBody) end(err error) error {
	if !errors.Is(err, io.EOF) {
		return brokenLine(err)
	}
	if err := checkFieldNames(b.response.Trailer); err != nil {
		b.progress.Retire()
		return err
	}
	b.progress.accept()
	b.accepted.Store(true)
	return err
}

// Close implements io.Closer. A connection on which a response was left before its end carries nothing
// more, whatever net/http does with it: a request that waits for the check would wait for ever.
func (b *trailerBody) Close() error {
	if !b.accepted.Load() {
		b.progress.Retire()
	}
	return b.ReadCloser.Close()
}
