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
	collectParallel = 64
	statusTimeout   = 2 * time.Second
)

// collector asks every agent for its status.
type collector struct {
	routes *routes
	pool   *sessionPool
	// fence is the highest fencing number that agents have reported.
	fence atomic.Uint64
}

// collect returns the status of every agent that is not known to be dead. It
// blocks until all have answered or timed out; silent agents count as not
// healthy.
func (c *collector) collect(ctx context.Context) intent.FleetView {
	return c.collectDue(ctx, func(core.Instance) (intent.AgentView, bool) { return intent.AgentView{}, false })
}

// collectDue is collect with the statuses that known returns taken as they
// are.
func (c *collector) collectDue(ctx context.Context, known func(core.Instance) (intent.AgentView, bool)) intent.FleetView {
	instances := c.routes.membership.View().Usable(core.RoleModel, core.RolePlain)
	var (
		mu     sync.Mutex
		agents = make([]intent.AgentView, 0, len(instances))
		group  errgroup.Group
	)
	group.SetLimit(collectParallel)
	for _, instance := range instances {
		if view, ok := known(instance); ok {
			mu.Lock()
			agents = append(agents, view)
			mu.Unlock()
			continue
		}
		group.Go(func() error {
			view := c.ask(ctx, instance)
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

func (c *collector) ask(ctx context.Context, instance core.Instance) intent.AgentView {
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
	c.sawFence(status.GetFence())
	return agentView(instance, status)
}

func (c *collector) sawFence(fence uint64) {
	for {
		held := c.fence.Load()
		if fence <= held || c.fence.CompareAndSwap(held, fence) {
			return
		}
	}
}

func (c *collector) highestFence() core.Fence {
	return core.Fence(c.fence.Load())
}

func agentView(instance core.Instance, s *wire.AgentStatus) intent.AgentView {
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
