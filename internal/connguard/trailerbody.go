package connguard

import (
	"errors"
	"io"
	"net/http"
)

// trailerBody is the body of a response in chunks, which a trailer may follow.
type trailerBody struct {
	io.ReadCloser
	response *http.Response
	progress *Progress
}

// Read implements io.Reader. At the end it returns *BrokenResponseError if the trailer is none.
func (b *trailerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, brokenLine(err)
	}
	if err := checkFieldNames(b.response.Trailer); err != nil {
		b.progress.Retire()
		return n, err
	}
	b.progress.accept()
	return n, err
}
