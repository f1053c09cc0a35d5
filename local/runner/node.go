package runner

import (
	"context"
	"fmt"
	"time"

	"github.com/snipestep/snipestep/agent"
	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/endpoint"
	"github.com/snipestep/snipestep/internal/fakes"
	"github.com/snipestep/snipestep/local/load"
	"github.com/snipestep/snipestep/local/serving"
	"github.com/snipestep/snipestep/local/syntheticweights"
)

// Behaviour of the fake endpoints, and the agents' time-out for calling them.
const (
	statusLag            = 300 * time.Millisecond
	cacheLag             = time.Second
	cacheEventLossRatio  = 0.1
	cachePrefixes        = 16
	attemptMismatchRatio = 0.01
	delayedResponseRatio = 0.01
	responseDelay        = 200 * time.Millisecond
	restartDuration      = 500 * time.Millisecond
	plainSlots           = 32
	plainServiceTime     = 20 * time.Millisecond
	endpointTimeout      = 30 * time.Second
)

// node is an endpoint with its agent.
type node struct {
	*program
	index  int
	engine *fakes.Engine       // Nil beside a plain service.
	plain  *fakes.PlainService // Nil beside an engine.
	server *serving.Server
	// plannedStop is set by a planned stop; abandonedBeforeStop is the number of
	// abandoned streams before it.
	plannedStop         bool
	abandonedBeforeStop uint64
}

// close ends the node as a crash would.
func (n *node) close() {
	n.kill()
	n.server.Close()
}

// startModel starts an engine and its agent.
func (f *runningFleet) startModel(ctx context.Context, index, incarnation int) (*node, error) {
	ignoresFencing := float64(index%fencingCycle)/fencingCycle < f.scenario.Engines.IgnoreFencingRatio
	seed := f.seed(index, incarnation)
	engine := fakes.NewEngine(fakes.EngineConfig{
		Slots:                f.scenario.Engines.Slots,
		FirstTokenDelay:      f.scenario.Engines.FirstTokenDelay,
		TokenInterval:        f.scenario.Engines.TokenInterval,
		LoadDuration:         f.scenario.Engines.LoadDuration,
		RestartDuration:      restartDuration,
		ChecksFencing:        !ignoresFencing,
		StatusLag:            statusLag,
		CacheLag:             cacheLag,
		CacheEventLossRatio:  cacheEventLossRatio,
		CachePrefixes:        cachePrefixes,
		AttemptMismatchRatio: attemptMismatchRatio,
		Seed:                 seed,
		ChunkDigests:         syntheticweights.ChunkDigests,
	})
	instance := f.newInstance(core.RoleModel, index, incarnation)
	server, err := serving.Start(ctx, anyPort, engine)
	if err != nil {
		return nil, err
	}
	originConfig := backing.HTTPConfig{BaseURL: f.platform.originURL, Client: f.platform.httpClient(instance), Timeout: chunkTimeout}
	storeConfig := originConfig
	storeConfig.BaseURL = f.platform.storeURL
	linkBytesPerSecond := float64(f.scenario.Links.InstanceMbps) * bytesPerMegabit
	config := agent.Config{
		Instance:                instance,
		ChecksFencing:           !ignoresFencing,
		Slots:                   f.scenario.Engines.Slots,
		IdleFetchBytesPerSecond: linkBytesPerSecond,
		BusyFetchBytesPerSecond: linkBytesPerSecond * busyFetchShare,
		Seed:                    seed,
	}
	return f.startNode(&node{index: index, engine: engine, server: server}, config, agent.Deps{
		Engine: endpoint.NewHTTPEngine(endpoint.HTTPConfig{BaseURL: server.URL(), Timeout: endpointTimeout}),
		Origin: backing.NewHTTPOrigin(originConfig),
		Store:  backing.NewHTTPWeightStore(storeConfig),
	})
}

const bytesPerMegabit = 1e6 / 8

// busyFetchShare is the fraction of an instance's link that weights may use while
// every slot runs a call.
const busyFetchShare = 0.8

// fencingCycle is the number of consecutive engines within which the ratio of those
// that ignore fencing is met.
const fencingCycle = 10

// startPlain starts a plain service and its agent.
func (f *runningFleet) startPlain(ctx context.Context, index int) (*node, error) {
	plain := fakes.NewPlainService(fakes.PlainServiceConfig{
		Operations:           []string{load.PurchaseName, balanceOperation},
		Slots:                plainSlots,
		ServiceTime:          plainServiceTime,
		RestartDuration:      restartDuration,
		DelayedResponseRatio: delayedResponseRatio,
		ResponseDelay:        responseDelay,
		AttemptMismatchRatio: attemptMismatchRatio,
		Seed:                 f.seed(index, plainSeedIncarnation),
	}, f.platform.runCounter)
	server, err := serving.Start(ctx, anyPort, plain)
	if err != nil {
		return nil, err
	}
	config := agent.Config{Instance: f.newInstance(core.RolePlain, index, 0), Slots: plainSlots}
	return f.startNode(&node{index: index, plain: plain, server: server}, config, agent.Deps{
		PlainService: endpoint.NewHTTPPlainService(endpoint.HTTPConfig{BaseURL: server.URL(), Timeout: endpointTimeout}),
	})
}

// startNode starts the agent and adds it to the instance list.
func (f *runningFleet) startNode(n *node, config agent.Config, deps agent.Deps) (*node, error) {
	instance := config.Instance
	config.FleetKey = fleetKey
	config.OriginRegion = regionLocation(0).Region
	config.Policy = f.scenario.Run.Policy
	deps.Dial = f.platform.links.Dialer(instance.ID, instance.Location)
	deps.Logger = f.logger.With("instance", instance.ID)
	agentComponent, err := agent.New(config, deps)
	if err != nil {
		n.server.Close()
		return nil, err
	}
	n.program, err = startProgram(agentComponent, instance)
	if err != nil {
		n.server.Close()
		return nil, err
	}
	f.updateInstanceList(instance)
	return n, nil
}

// newInstance allocates the addresses of an instance and registers its links.
func (f *runningFleet) newInstance(role core.InstanceRole, index, incarnation int) core.Instance {
	ip := f.addresses.next()
	instance := core.Instance{
		ID:           core.InstanceID(fmt.Sprintf("%s-%d-%d", role, index+1, incarnation+1)),
		Role:         role,
		Location:     instanceLocation(index, f.scenario.Fleet.Regions),
		State:        core.StateLive,
		SessionAddr:  address(ip, sessionPort),
		DatagramAddr: address(ip, datagramPort),
	}
	switch role {
	case core.RoleModel:
		instance.ChunkAddr = address(ip, chunkPort)
		f.platform.links.Register(instance.ChunkAddr, fakes.TrafficWeights, instance.ID, instance.Location)
	case core.RolePlain:
		instance.Service = load.ServiceName
	}
	f.platform.links.Register(instance.SessionAddr, fakes.TrafficCalls, instance.ID, instance.Location)
	return instance
}
