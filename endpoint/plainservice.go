package endpoint

import "context"

// PlainService is the client of one plain service.
type PlainService interface {
	// Call runs an operation. It blocks until the service answers or ctx
	// ends. Errors are *NotStartedError, *BrokenError and
	// *AttemptMismatchError; after the latter two the operation may have run.
	Call(ctx context.Context, request PlainRequest) (PlainResponse, error)
	// Available reports whether the service is up, even if it refuses calls. It
	// runs no operation, and blocks until the service answers or ctx ends.
	Available(ctx context.Context) bool
}
