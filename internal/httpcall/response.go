package httpcall

import (
	"encoding/json"
	"net/http"
)

// Response is a complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Decode parses the JSON body. It returns *FormatError.
func (r *Response) Decode(result any) error {
	if err := json.Unmarshal(r.Body, result); err != nil {
		return &FormatError{Cause: err}
	}
	return nil
}

// Succeeded reports a status from 200 to 299.
func (r *Response) Succeeded() bool {
	return r.Status >= http.StatusOK && r.Status < http.StatusMultipleChoices
}

// StatusError returns the response as an error.
func (r *Response) StatusError() *StatusError {
	statusErr := &StatusError{Status: r.Status}
	if json.Unmarshal(r.Body, &statusErr.Document) != nil {
		statusErr.Document = ErrorDocument{Detail: http.StatusText(r.Status)}
	}
	if statusErr.Document.RetryAfterMS == 0 {
		statusErr.Document.RetryAfterMS = retryAfterMS(r.Header)
	}
	return statusErr
}
