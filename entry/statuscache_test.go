package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/intent"
)

func TestOnlyBusyAgentsAreQueriedAgain(t *testing.T) {
	now := time.Unix(0, 0)
	cache := newStatusCache(func() time.Time { return now })
	agent := func(id core.InstanceID) intent.AgentView {
		return intent.AgentView{Instance: core.Instance{ID: id}, Healthy: true}
	}
	idle, swapping, ordered, unhealthy := agent("idle"), agent("swapping"), agent("ordered"), agent("unhealthy")
	swapping.Swapping = true
	unhealthy.Healthy = false
	view := intent.FleetView{Agents: []intent.AgentView{idle, swapping, ordered, unhealthy}}
	cache.update(view, []intent.Order{{Instance: "ordered"}})
	assert.Equal(t, cache.dueCount(view), 3)
	_, ok := cache.lookup(idle.Instance)
	assert.Assert(t, ok)
	moved := idle.Instance
	moved.SessionAddr = "127.0.0.1:1"
	_, ok = cache.lookup(moved)
	assert.Assert(t, !ok, "the status of a changed instance is reused")
	// Reuse does not extend the lifetime of a status.
	now = now.Add(minIdleInterval - time.Millisecond)
	cache.update(intent.FleetView{Agents: []intent.AgentView{idle}}, nil)
	now = now.Add(time.Millisecond)
	_, ok = cache.lookup(idle.Instance)
	assert.Assert(t, !ok)
}
