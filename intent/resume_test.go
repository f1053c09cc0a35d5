package intent

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
)

// TestResumeForgetsDrainedInstancesThatAreGone: a drained instance that was
// replaced could not be resumed, and stood in the document for ever.
func TestResumeForgetsDrainedInstancesThatAreGone(t *testing.T) {
	doc := &fleet.Document{Generation: 3, Stops: []fleet.Stop{{Instances: []core.InstanceID{"gone"}, Drain: true}}}
	view := FleetView{Agents: []AgentView{{
		Instance: core.Instance{ID: "new", Role: core.RoleModel, Location: core.Location{Region: "r", FailureDomain: "d"}},
		Healthy:  true, Slots: 4,
	}}}
	here := Intent{Resume: &Resume{Selector: Selector{Region: "r"}}}
	_, err := MakePlan(doc, view, here, time.Unix(0, 0), "p1")
	var none *NoMatchError
	assert.Assert(t, errors.As(err, &none))
	plan, err := MakePlan(doc, view, Intent{Resume: &Resume{}}, time.Unix(0, 0), "p2")
	assert.NilError(t, err)
	assert.Equal(t, len(plan.Next.Stops), 0)
}
