package endpoint

import (
	"errors"
	"net/http"

	"github.com/snipestep/snipestep/internal/httpcall"
)

// repeats returns a check that a response repeats the attempt in AttemptHeader. An endpoint
// may write an earlier response once more on a kept-alive connection.
func repeats(attempt string) func(int, http.Header) bool {
	return func(_ int, header http.Header) bool {
		return header.Get(AttemptHeader) == attempt
	}
}

// repeatsUnlessStarted is repeats for streams: their events carry the attempt themselves.
func repeatsUnlessStarted(attempt string) func(int, http.Header) bool {
	return func(status int, header http.Header) bool {
		return status == http.StatusOK || header.Get(AttemptHeader) == attempt
	}
}

// mismatchError returns the error for a response to another attempt, nil if err is none.
func mismatchError(attempt string, err error) error {
	var foreign *httpcall.ForeignResponseError
	if !errors.As(err, &foreign) {
		return nil
	}
	return &AttemptMismatchError{
		Attempt:      attempt,
		Got:          foreign.Header.Get(AttemptHeader),
		Status:       foreign.Status,
		RetryAfterMS: foreign.RetryAfterMS(),
	}
}
