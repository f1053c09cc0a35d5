package entry

import (
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/internal/fakes"
)

// A step of the time of day moved the end of the executor's lease: back, a lease that
// had lapsed counted as held; ahead, one that was held as lapsed.
func TestStepOfTheTimeOfDayDoesNotMoveTheEndOfTheExecutorLease(t *testing.T) {
	f := &testFleet{t: t, kv: fakes.NewKeyValue(time.Now), instanceList: fakes.NewInstanceList(0, time.Now)}
	var step atomic.Int64
	e, err := New(Config{
		Instance: core.Instance{ID: "entry-0", Role: core.RoleEntry}, FleetKey: testFleetKey,
	}, Deps{
		KeyValue:     backing.NewHTTPKeyValue(backing.HTTPConfig{BaseURL: f.startServer(f.kv), Timeout: time.Second}),
		InstanceList: backing.NewHTTPInstanceList(backing.HTTPConfig{BaseURL: f.startServer(f.instanceList)}),
		Now:          func() time.Time { return time.Now().Add(time.Duration(step.Load())) },
	})
	assert.NilError(t, err)
	lease, err := e.executor.election.Campaign(t.Context())
	assert.NilError(t, err)
	defer lease.Release()

	step.Store(int64(time.Hour))

	assert.Assert(t, lease.Valid())
}
