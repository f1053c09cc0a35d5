package entry

import (
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/intent"
)

// statusCache keeps the statuses of agents at which nothing happens, so that
// a round of the executor asks the others only. It is not safe for concurrent
// use.
type statusCache struct {
	now     func() time.Time
	entries map[core.InstanceID]cachedStatus
	// life is how long a status may be used again.
	life time.Duration
}

// cachedStatus is one status with the time it was read.
type cachedStatus struct {
	view   intent.AgentView
	readAt time.Time
}

func newStatusCache(now func() time.Time) *statusCache {
	return &statusCache{now: now, entries: make(map[core.InstanceID]cachedStatus)}
}

// known returns the status of an instance at which nothing happens. Only the
// goroutine that collects calls it.
func (c *statusCache) known(instance core.Instance) (intent.AgentView, bool) {
	cached, ok := c.entries[instance.ID]
	if !ok || cached.view.Instance != instance || c.now().Sub(cached.readAt) >= c.life {
		return intent.AgentView{}, false
	}
	return cached.view, true
}

// keep takes a round's view and the orders that follow from it. Statuses of
// agents that are busy, silent or ordered something are not used again.
func (c *statusCache) keep(view intent.FleetView, orders []intent.Order) {
	ordered := make(map[core.InstanceID]bool, len(orders))
	for _, o := range orders {
		ordered[o.Instance] = true
	}
	fresh := make(map[core.InstanceID]cachedStatus, len(view.Agents))
	for _, a := range view.Agents {
		if ordered[a.Instance.ID] || busy(a) || !a.Healthy {
			continue
		}
		entry := cachedStatus{view: a, readAt: c.now()}
		if _, reused := c.known(a.Instance); reused {
			entry.readAt = c.entries[a.Instance.ID].readAt
		}
		fresh[a.Instance.ID] = entry
	}
	c.entries = fresh
	c.life = idlePollInterval(len(view.Agents))
}

// asked returns how many agents the next round asks at once.
func (c *statusCache) asked(view intent.FleetView) int {
	return len(view.Agents) - len(c.entries)
}

// busy reports whether an agent fetches or swaps, or waits to swap.
func busy(a intent.AgentView) bool {
	return a.Swapping || a.ChunksHave < a.ChunksTotal || a.Fetching != a.Serving
}

// idlePollInterval is the time between two statuses of an agent at which
// nothing happens. It grows with the fleet, so that the bytes a second stay
// bounded.
func idlePollInterval(agents int) time.Duration {
	return max(idleInterval, time.Duration(agents)*idlePerAgent)
}
