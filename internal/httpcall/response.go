package httpcall

import (
	"encoding/json"
	"net/http"
)

// Response is a whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Decode parses the JSON body. It returns *FormatError.
func (r *Response) Decode(into any) error {
	if err := json.Unmarshal(r.Body, into); err != nil {
		return &FormatError{Cause: err}
	}
	return nil
}

// Succeeded reports a status from 200 to 299.
func (r *Response) Succeeded() bool {
	return r.Status >= http.StatusOK && r.Status < http.StatusMultipleChoices
}

// StatusError returns the answer as an error.
func (r *Response) StatusError() *StatusError {
	failure := &StatusError{Status: r.Status}
	if json.Unmarshal(r.Body, &failure.Document) != nil {
		failure.Document = ErrorDocument{Detail: http.StatusText(r.Status)}
	}
	if failure.Document.RetryAfterMS == 0 {
		failure.Document.RetryAfterMS = retryAfterMS(r.Header)
	}
	return failure
}
