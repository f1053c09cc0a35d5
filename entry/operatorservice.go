package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/configuration"
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
	"github.com/snipestep/snipestep/intent"
	"github.com/snipestep/snipestep/internal/delay"
	"github.com/snipestep/snipestep/operator"
	"github.com/snipestep/snipestep/weights"
)

const (
	planTTL             = time.Hour
	statusWatchInterval = time.Second
)

// operatorService creates, stores and confirms plans.
type operatorService struct {
	kv          backing.KeyValue
	configStore *configuration.Store
	weightStore backing.WeightStore
	documents   *fleet.DocumentHolder
	collector   *statusCollector
	executor    *executor
	now         func() time.Time
	logger      *slog.Logger
	instance    core.InstanceID
}

// Propose creates a plan for an intent and stores it for planTTL. Nothing else
// changes.
func (o *operatorService) Propose(ctx context.Context, in intent.Intent) (*intent.Plan, error) {
	if err := o.resolveModel(ctx, &in); err != nil {
		return nil, err
	}
	if err := o.configStore.Load(ctx); err != nil {
		return nil, err
	}
	view := o.collector.collect(ctx)
	plan, err := intent.MakePlan(o.documents.Current(), view, in, o.now(), uuid.NewString())
	if err != nil {
		return nil, err
	}
	return plan, o.storePlan(ctx, plan)
}

// resolveModel fills in the manifest and the size of the model in a place intent.
func (o *operatorService) resolveModel(ctx context.Context, in *intent.Intent) error {
	if in.Place == nil {
		return nil
	}
	place := *in.Place
	ref, err := o.weightStore.Resolve(ctx, place.Model.Model, place.Model.Version)
	if err != nil {
		return eris.Wrapf(err, "resolve model %q version %q", place.Model.Model, place.Model.Version)
	}
	encoded, err := o.weightStore.Manifest(ctx, ref.Manifest)
	if err != nil {
		return eris.Wrap(err, "read the manifest")
	}
	manifest, err := weights.DecodeManifest(encoded, ref.Manifest)
	if err != nil {
		return err
	}
	place.Model = ref
	place.ModelBytes = manifest.Size
	in.Place = &place
	return nil
}

func (o *operatorService) storePlan(ctx context.Context, plan *intent.Plan) error {
	encoded, err := plan.Encode()
	if err != nil {
		return err
	}
	lease, err := o.kv.Grant(ctx, planTTL)
	if err != nil {
		return eris.Wrap(err, "grant a lease for the plan")
	}
	_, err = o.kv.CompareAndSwap(ctx, intent.PlanKey(plan.ID), 0, encoded, lease)
	return eris.Wrap(err, "store the plan")
}

// Plan returns a stored plan, or operator.ErrPlanNotFound.
func (o *operatorService) Plan(ctx context.Context, id string) (*intent.Plan, error) {
	stored, err := o.kv.Get(ctx, intent.PlanKey(id))
	if errors.Is(err, backing.ErrKeyNotFound) {
		return nil, operator.ErrPlanNotFound
	}
	if err != nil {
		return nil, err
	}
	return intent.DecodePlan(stored.Value)
}

// Confirm commits a plan's document and returns its generation. Confirming a
// plan that is already in force changes nothing. Errors are
// *intent.StalePlanError, *configuration.GenerationConflictError and those of
// the key-value service.
func (o *operatorService) Confirm(ctx context.Context, id string) (core.Generation, error) {
	plan, err := o.Plan(ctx, id)
	if err != nil {
		return 0, err
	}
	if err := o.configStore.Load(ctx); err != nil {
		return 0, err
	}
	if plan.Confirmed(o.documents.Current()) {
		return plan.Generation + 1, nil
	}
	next, err := intent.Confirm(plan, o.documents.Current(), o.collector.collect(ctx))
	if err != nil {
		return 0, err
	}
	if err := o.configStore.Commit(ctx, next); err != nil {
		return 0, err
	}
	o.logger.Info("plan confirmed", "plan", id, "generation", uint64(next.Generation))
	return next.Generation, nil
}

// Status returns the state of the fleet as this entry sees it.
func (o *operatorService) Status(ctx context.Context) (operator.Status, error) {
	reachable := o.configStore.Load(ctx) == nil
	status := operator.NewStatus(o.documents.Current(), o.collector.collect(ctx))
	status.Entry = o.instance
	status.StoreReachable = reachable
	if lease := o.executor.lease.Load(); lease != nil {
		status.Executor = true
		status.Fence = lease.Fence
	}
	return status, nil
}

// Watch sends the status at once and after each change until ctx ends or send
// fails.
func (o *operatorService) Watch(ctx context.Context, send func(operator.Status) error) error {
	var last []byte
	for {
		status, err := o.Status(ctx)
		if err != nil {
			return err
		}
		encoded, err := json.Marshal(status)
		if err != nil {
			return err
		}
		if !bytes.Equal(encoded, last) {
			if err := send(status); err != nil {
				return err
			}
			last = encoded
		}
		delay.For(ctx, statusWatchInterval)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}
