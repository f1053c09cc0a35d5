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

// collector queries the agents for their status.
type collector struct {
	routes *routes
	pool   *sessionPool
	// maxFence is the highest fencing token that agents have reported.
	maxFence atomic.Uint64
}

// collect returns the status of every agent that is not known to be dead. It
// blocks until all have responded or timed out; agents that do not respond are
// not healthy.
func (c *collector) collect(ctx context.Context) intent.FleetView {
	return c.collectUncached(ctx, func(core.Instance) (intent.AgentView, bool) { return intent.AgentView{}, false })
}

// collectUncached is collect without queries for the agents whose status cached
// returns.
func (c *collector) collectUncached(ctx context.Context, cached func(core.Instance) (intent.AgentView, bool)) intent.FleetView {
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

func (c *collector) requestStatus(ctx context.Context, instance core.Instance) intent.AgentView {
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

func (c *collector) observeFence(fence uint64) {
	for {
		seen := c.maxFence.Load()
		if fence <= seen || c.maxFence.CompareAndSwap(seen, fence) {
			return
		}
	}
}

func (c *collector) highestFence() core.Fence {
	return core.Fence(c.maxFence.Load())
}

func newAgentView(instance core.Instance, s *wire.AgentStatus) intent.AgentView {
	return intent.AgentView{
		Instance:    instance,
		Serving:     wire.ModelRefFromProto(s.GetServing()),
		Fetching:    wire.ModelRefFromProto(s.GetFetching()),
		ChunksHave:  int(s.GetChunksHave()),
		ChunksTotal: int(s.GetChunksTotal()),
		Draining:    s.GetDraining(),
		Swapping:    s.GetSwapping(),
		Leaving:     s.GetLeaving(),
		Running:     int(s.GetRunning()),
		Slots:       int(s.GetSlots()),
		Fence:       core.Fence(s.GetFence()),
		Adapters:    s.GetAdapters(),
		EngineRole:  s.GetEngineRole(),
		Healthy:     true,
	}
}
