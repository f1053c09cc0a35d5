package httpcall

import "fmt"

// TransportError reports a request without a complete response.
type TransportError struct {
	// MaybeSent is true if bytes of the request may have reached the server.
	MaybeSent bool
	Cause     error
}

// Error implements error.
func (e *TransportError) Error() string {
	if e.MaybeSent {
		return fmt.Sprintf("no answer to the request: %v", e.Cause)
	}
	return fmt.Sprintf("request was not sent: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *TransportError) Unwrap() error {
	return e.Cause
}

// StatusError reports a response that is not a success.
type StatusError struct {
	Status   int
	Document ErrorDocument
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d, code %q: %s", e.Status, e.Document.Code, e.Document.Detail)
}

// TooLargeError reports a response body longer than the limit.
type TooLargeError struct {
	Limit int64 // Bytes.
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("answer exceeds %d bytes", e.Limit)
}

// FormatError reports a response that does not follow the protocol.
type FormatError struct {
	Cause error
}

// Error implements error.
func (e *FormatError) Error() string {
	return fmt.Sprintf("answer does not follow the protocol: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *FormatError) Unwrap() error {
	return e.Cause
}
