package operator

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/intent"
)

// ErrPlanNotFound reports a plan that does not exist or lapsed.
var ErrPlanNotFound = eris.New("the plan does not exist or lapsed")

// Service is what the operator API does. Its methods block until they have
// an answer or ctx ends; the handler maps the errors of packages intent,
// fleet, configuration and platform to problem documents.
type Service interface {
	// Propose makes and keeps a plan; nothing else changes.
	Propose(ctx context.Context, in intent.Intent) (*intent.Plan, error)
	// Plan returns a kept plan, or ErrPlanNotFound.
	Plan(ctx context.Context, id string) (*intent.Plan, error)
	// Confirm puts a plan in force and returns its generation. Confirming
	// the same plan again succeeds.
	Confirm(ctx context.Context, id string) (core.Generation, error)
	// Status returns the state of the fleet as this entry sees it.
	Status(ctx context.Context) (Status, error)
	// Watch calls send with the status at once and after each change, until
	// ctx ends or send fails.
	Watch(ctx context.Context, send func(Status) error) error
}
