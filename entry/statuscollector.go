package entry

import (
	"context"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/intent"
	"github.com/snipestep/snipestep/wire"
)

const (
	maxParallelStatuses = 64
	statusTimeout       = 2 * time.Second
)

// statusCollector queries the agents for their status.
type statusCollector struct {
	routes *routes
	pool   *sessionPool
	// maxFence is the highest fencing number that agents have reported.
	maxFence atomic.Uint64
}

// collect returns the status of every listed agent that is neither leaving nor
// dead. It blocks until all have responded or timed out; agents that do not
// respond are not healthy.
func (c *statusCollector) collect(ctx context.Context) intent.FleetView {
	return c.collectUncached(ctx, func(core.Instance) (intent.AgentView, bool) { return intent.AgentView{}, false })
}

// collectUncached is like collect, but does not query the agents for which cached
// returns a status.
func (c *statusCollector) collectUncached(ctx context.Context, cached func(core.Instance) (intent.AgentView, bool)) intent.FleetView {
	instances := c.routes.membership.View().Usable(core.RoleModel, core.RolePlain)
	var (
		mu     sync.Mutex
		agents = make([]intent.AgentView, 0, len(instances))
		group  errgroup.Group
	)
	group.SetLimit(maxParallelStatuses)
	for _, instance := range instances {
		if view, ok := cached(instance); ok {
			mu.Lock()
			agents = append(agents, view)
			mu.Unlock()
			continue
		}
		group.Go(func() error {
			view := c.requestStatus(ctx, instance)
			mu.Lock()
			defer mu.Unlock()
			agents = append(agents, view)
			return nil
		})
	}
	_ = group.Wait()
	sort.Slice(agents, func(i, j int) bool { return agents[i].Instance.ID < agents[j].Instance.ID })
	return intent.FleetView{Agents: agents}
}

func (c *statusCollector) requestStatus(ctx context.Context, instance core.Instance) intent.AgentView {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	view := intent.AgentView{Instance: instance}
	session, err := c.pool.get(ctx, instance)
	if err != nil {
		return view
	}
	status := &wire.AgentStatus{}
	header := &wire.StreamHeader{Request: &wire.StreamHeader_Status{Status: &wire.StatusRequest{}}}
	if err := session.Request(ctx, header, status); err != nil {
		return view
	}
	c.observeFence(status.GetFence())
	return newAgentView(instance, status)
}

func (c *statusCollector) observeFence(fence uint64) {
	for {
		seen := c.maxFence.Load()
		if fence <= seen || c.maxFence.CompareAndSwap(seen, fence) {
			return
		}
	}
}

func (c *statusCollector) highestFence() core.Fence {
	return core.Fence(c.maxFence.Load())
}

func newAgentView(instance core.Instance, status *wire.AgentStatus) intent.AgentView {
	return intent.AgentView{
		Instance:    instance,
		Serving:     wire.ModelRefFromProto(status.GetServing()),
		Fetching:    wire.ModelRefFromProto(status.GetFetching()),
		ChunksHave:  int(status.GetChunksHave()),
		ChunksTotal: int(status.GetChunksTotal()),
		Draining:    status.GetDraining(),
		Swapping:    status.GetSwapping(),
		Leaving:     status.GetLeaving(),
		Running:     int(status.GetRunning()),
		Slots:       int(status.GetSlots()),
		Fence:       core.Fence(status.GetFence()),
		Adapters:    status.GetAdapters(),
		EngineRole:  status.GetEngineRole(),
		Healthy:     true,
	}
}
