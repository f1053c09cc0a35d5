package intent

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
)

// TestResumeRemovesDrainedInstancesNotInView guards against a drained instance
// that cannot be resumed once it was replaced, and so stays in the document for
// ever.
func TestResumeRemovesDrainedInstancesNotInView(t *testing.T) {
	doc := &fleet.Document{Generation: 3, Stops: []fleet.Stop{{Instances: []core.InstanceID{"gone"}, Drain: true}}}
	view := FleetView{Agents: []AgentView{{
		Instance: core.Instance{ID: "new", Role: core.RoleModel, Location: core.Location{Region: "r", FailureDomain: "d"}},
		Healthy:  true, Slots: 4,
	}}}
	inRegion := Intent{Resume: &Resume{Selector: Selector{Region: "r"}}}
	_, err := MakePlan(doc, view, inRegion, time.Unix(0, 0), "p1")
	var noMatch *NoMatchError
	assert.Assert(t, errors.As(err, &noMatch))
	plan, err := MakePlan(doc, view, Intent{Resume: &Resume{}}, time.Unix(0, 0), "p2")
	assert.NilError(t, err)
	assert.Equal(t, len(plan.Next.Stops), 0)
}
