package operator

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/intent"
)

// ErrPlanNotFound reports a plan that does not exist or has expired.
var ErrPlanNotFound = eris.New("the plan does not exist or lapsed")

// Service implements the operations of the operator API. Its methods block until
// they have a result or ctx ends; the handler maps the errors of packages intent,
// fleet, configuration and backing to problem documents.
type Service interface {
	// Propose creates and stores a plan; nothing else changes.
	Propose(ctx context.Context, in intent.Intent) (*intent.Plan, error)
	// Plan returns a stored plan, or ErrPlanNotFound.
	Plan(ctx context.Context, id string) (*intent.Plan, error)
	// Confirm applies a plan and returns the generation that it creates.
	// Confirming the same plan again succeeds.
	Confirm(ctx context.Context, id string) (core.Generation, error)
	// Status returns the state of the fleet as this entry sees it.
	Status(ctx context.Context) (Status, error)
	// Watch calls send with the status at once and after each change, until
	// ctx ends or send fails.
	Watch(ctx context.Context, send func(Status) error) error
}
