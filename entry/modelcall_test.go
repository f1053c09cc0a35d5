package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/routing"
)

// TestUnboundCallIsServedByAnyVersion checks that a call that has begun accepts
// any version until a token binds the response to one.
func TestUnboundCallIsServedByAnyVersion(t *testing.T) {
	v1 := core.ModelRef{Model: "letters", Version: "v1", Manifest: core.SumDigest([]byte("v1"))}
	v2 := core.ModelRef{Model: "letters", Version: "v2", Manifest: core.SumDigest([]byte("v2"))}
	r := &routes{}
	r.table.Store(routing.NewTable(routing.TableConfig{}, []routing.EndpointState{{ID: "m", Model: v2, Slots: 1}}, nil))
	m := &modelCall{svc: &callService{dispatcher: &dispatcher{routes: r}}, model: "letters", mayHaveBegun: true}
	assert.Assert(t, m.isServed())
	m.boundModel = v1
	assert.Assert(t, !m.isServed())
	m.boundModel = v2
	assert.Assert(t, m.isServed())
}
