package backing

import (
	"context"

	"github.com/snipestep/snipestep/core"
)

// InstanceList is the platform's list of live and leaving instances. It lags
// behind their actual state.
type InstanceList interface {
	// Instances blocks until the list responds. Failed instances may still
	// be listed, new ones may be missing.
	Instances(ctx context.Context) ([]core.Instance, error)
}
