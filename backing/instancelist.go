package backing

import (
	"context"

	"github.com/snipestep/snipestep/core"
)

// InstanceList is the platform's list of live and leaving instances. It lags
// behind the truth.
type InstanceList interface {
	// Instances blocks until the list answers. Instances that died may
	// still be listed, new ones may be missing.
	Instances(ctx context.Context) ([]core.Instance, error)
}
