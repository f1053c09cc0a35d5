package entry

import (
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/intent"
)

// statusCache holds the statuses of idle agents, so that a round of the executor
// queries only the others. It is not safe for concurrent use.
type statusCache struct {
	now     func() time.Time
	entries map[core.InstanceID]cachedStatus
	// maxAge is how long a status may be reused.
	maxAge time.Duration
}

// cachedStatus is a status with the time at which it was read.
type cachedStatus struct {
	view   intent.AgentView
	readAt time.Time
}

func newStatusCache(now func() time.Time) *statusCache {
	return &statusCache{now: now, entries: make(map[core.InstanceID]cachedStatus)}
}

// lookup returns the status of an idle instance unless it is too old. Only the
// collecting goroutine calls it.
func (c *statusCache) lookup(instance core.Instance) (intent.AgentView, bool) {
	cached, ok := c.entries[instance.ID]
	if !ok || cached.view.Instance != instance || c.now().Sub(cached.readAt) >= c.maxAge {
		return intent.AgentView{}, false
	}
	return cached.view, true
}

// update replaces the contents after a round, given its view and its orders. It
// omits agents that are busy, unhealthy or got an order.
func (c *statusCache) update(view intent.FleetView, orders []intent.Order) {
	ordered := make(map[core.InstanceID]bool, len(orders))
	for _, o := range orders {
		ordered[o.Instance] = true
	}
	fresh := make(map[core.InstanceID]cachedStatus, len(view.Agents))
	for _, a := range view.Agents {
		if ordered[a.Instance.ID] || isBusy(a) || !a.Healthy {
			continue
		}
		entry := cachedStatus{view: a, readAt: c.now()}
		if _, reused := c.lookup(a.Instance); reused {
			entry.readAt = c.entries[a.Instance.ID].readAt
		}
		fresh[a.Instance.ID] = entry
	}
	c.entries = fresh
	c.maxAge = idlePollInterval(len(view.Agents))
}

// dueCount returns the number of agents that the next round queries.
func (c *statusCache) dueCount(view intent.FleetView) int {
	return len(view.Agents) - len(c.entries)
}

// isBusy reports whether an agent fetches weights, swaps models or is about to
// swap.
func isBusy(a intent.AgentView) bool {
	return a.Swapping || a.ChunksHave < a.ChunksTotal || a.Fetching != a.Serving
}

// idlePollInterval returns the interval between status queries to an idle agent.
// It grows with the fleet, which bounds the bytes per second.
func idlePollInterval(agents int) time.Duration {
	return max(minIdleInterval, time.Duration(agents)*idleIntervalPerAgent)
}
