package endpoint

import "github.com/snipestep/snipestep/internal/heldbytes"

// PlainRequest asks a plain service to run one attempt of an operation.
type PlainRequest struct {
	// Attempt identifies the attempt; the answer carries it.
	Attempt   string
	Operation string
	// IdempotencyKey is the caller's key; empty for none.
	IdempotencyKey string
	Body           []byte
	// OnNotice gets what the header of an answer says of the service, also of an answer to
	// another call; nil ignores it.
	OnNotice func(Notice)
	// Held counts the answer while it is read, and its body afterwards; nil counts nothing.
	Held *heldbytes.Held
}

// PlainResponse is the service's answer. Status is an HTTP status, which may be
// an error that the operation itself returned.
type PlainResponse struct {
	Attempt string
	Status  int
	Body    []byte
}
