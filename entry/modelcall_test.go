package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/routing"
)

// TestBegunCallWithoutTokensIsStillServed asks for any version until a token
// binds the answer to one.
func TestBegunCallWithoutTokensIsStillServed(t *testing.T) {
	v1 := core.ModelRef{Model: "letters", Version: "v1", Manifest: core.SumDigest([]byte("v1"))}
	v2 := core.ModelRef{Model: "letters", Version: "v2", Manifest: core.SumDigest([]byte("v2"))}
	r := &routes{}
	r.table.Store(routing.NewTable(routing.TableConfig{}, []routing.EndpointState{{ID: "m", Model: v2, Slots: 1}}, nil))
	m := &modelCall{svc: &callService{dispatcher: &dispatcher{routes: r}}, model: "letters", begun: true}
	assert.Assert(t, m.served())
	m.bound = v1
	assert.Assert(t, !m.served())
	m.bound = v2
	assert.Assert(t, m.served())
}
