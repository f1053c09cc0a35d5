package endpoint

import "context"

// Plain is one plain service.
type Plain interface {
	// Call runs an operation. It blocks until the service answers or ctx
	// ends. Errors are *NotStartedError, *BrokenError and
	// *ForeignAnswerError; after the latter two the operation may have run.
	Call(ctx context.Context, request PlainRequest) (PlainResponse, error)
	// Up reports whether the service answers at all. It runs nothing, and
	// blocks until the service answers or ctx ends.
	Up(ctx context.Context) bool
}
