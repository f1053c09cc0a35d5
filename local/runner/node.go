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
	"github.com/snipestep/snipestep/local/madeweights"
	"github.com/snipestep/snipestep/local/serving"
)

// Normal manners of the endpoints.
const (
	statusLag       = 300 * time.Millisecond
	cacheLag        = time.Second
	cacheGapRatio   = 0.1
	cachePrefixes   = 16
	foreignRatio    = 0.01
	lateRatio       = 0.01
	lateAnswer      = 200 * time.Millisecond
	engineRestart   = 500 * time.Millisecond
	plainSlots      = 32
	plainService    = 20 * time.Millisecond
	endpointTimeout = 30 * time.Second
)

// node is an endpoint with its agent.
type node struct {
	*program
	number int
	engine *fakes.Engine // Nil beside a plain service.
	plain  *fakes.Plain  // Nil beside an engine.
	server *serving.Server
	// stopped is set by a planned stop; abandoned is the count of cut
	// streams before it.
	stopped   bool
	abandoned uint64
}

// close ends the node as a crash would.
func (n *node) close() {
	n.kill()
	n.server.Close()
}

// startModel starts an engine and its agent.
func (f *fleetRun) startModel(ctx context.Context, number, generation int) (*node, error) {
	ignores := float64(number%modelCycle)/modelCycle < f.scenario.Engines.IgnoreFencingRatio
	seed := f.seed(number, generation)
	engine := fakes.NewEngine(fakes.EngineConfig{
		Slots:         f.scenario.Engines.Slots,
		FirstToken:    f.scenario.Engines.FirstToken,
		PerToken:      f.scenario.Engines.Token,
		Load:          f.scenario.Engines.Load,
		Restart:       engineRestart,
		ChecksFencing: !ignores,
		StatusLag:     statusLag,
		CacheLag:      cacheLag,
		CacheGapRatio: cacheGapRatio,
		CachePrefixes: cachePrefixes,
		ForeignRatio:  foreignRatio,
		Seed:          seed,
		ChunkDigests:  madeweights.ChunkDigests,
	})
	instance := f.instance(core.RoleModel, number, generation)
	served, err := serving.Start(ctx, anyPort, engine)
	if err != nil {
		return nil, err
	}
	weights := backing.HTTPConfig{BaseURL: f.platform.originURL, Client: f.platform.client(instance), Timeout: chunkTimeout}
	store := weights
	store.BaseURL = f.platform.storeURL
	link := float64(f.scenario.Links.InstanceMbps) * bytesPerMegabit
	config := agent.Config{
		Instance:                instance,
		ChecksFencing:           !ignores,
		Slots:                   f.scenario.Engines.Slots,
		IdleFetchBytesPerSecond: link,
		BusyFetchBytesPerSecond: link * busyFetchShare,
		Seed:                    seed,
	}
	return f.startNode(&node{number: number, engine: engine, server: served}, config, agent.Deps{
		Engine: endpoint.NewHTTPEngine(endpoint.HTTPConfig{BaseURL: served.URL(), Timeout: endpointTimeout}),
		Origin: backing.NewHTTPOrigin(weights),
		Store:  backing.NewHTTPWeightStore(store),
	})
}

// bytesPerMegabit converts megabits to bytes.
const bytesPerMegabit = 1e6 / 8

// busyFetchShare is the part of an instance's link that weights may fill
// while every slot runs a call.
const busyFetchShare = 0.8

// modelCycle is the number of engines over which the ratio of those that
// ignore fencing is spread.
const modelCycle = 10

// startPlain starts a plain service and its agent.
func (f *fleetRun) startPlain(ctx context.Context, number int) (*node, error) {
	plain := fakes.NewPlain(fakes.PlainConfig{
		Operations:   []string{load.PurchaseName, balanceName},
		Slots:        plainSlots,
		Service:      plainService,
		Restart:      engineRestart,
		LateRatio:    lateRatio,
		Late:         lateAnswer,
		ForeignRatio: foreignRatio,
		Seed:         f.seed(number, plainSeed),
	}, f.platform.ledger)
	served, err := serving.Start(ctx, anyPort, plain)
	if err != nil {
		return nil, err
	}
	config := agent.Config{Instance: f.instance(core.RolePlain, number, 0), Slots: plainSlots}
	return f.startNode(&node{number: number, plain: plain, server: served}, config, agent.Deps{
		PlainService: endpoint.NewHTTPPlainService(endpoint.HTTPConfig{BaseURL: served.URL(), Timeout: endpointTimeout}),
	})
}

// startNode starts the agent and puts it on the instance list.
func (f *fleetRun) startNode(n *node, config agent.Config, deps agent.Deps) (*node, error) {
	instance := config.Instance
	config.FleetKey = fleetKey
	config.OriginRegion = location(0).Region
	config.Policy = f.scenario.Run.Policy
	deps.Dial = f.platform.links.Dialer(instance.ID, instance.Location)
	deps.Logger = f.logger.With("instance", instance.ID)
	made, err := agent.New(config, deps)
	if err != nil {
		n.server.Close()
		return nil, err
	}
	n.program, err = startProgram(made, instance)
	if err != nil {
		n.server.Close()
		return nil, err
	}
	f.join(instance)
	return n, nil
}

// instance returns the description of a new instance.
func (f *fleetRun) instance(role core.InstanceRole, number, generation int) core.Instance {
	ip := f.addresses.next()
	made := core.Instance{
		ID:           core.InstanceID(fmt.Sprintf("%s-%d-%d", role, number+1, generation+1)),
		Role:         role,
		Location:     place(number, f.scenario.Fleet.Regions),
		State:        core.StateLive,
		SessionAddr:  address(ip, sessionPort),
		DatagramAddr: address(ip, datagramPort),
	}
	switch role {
	case core.RoleModel:
		made.ChunkAddr = address(ip, chunkPort)
		f.platform.links.Register(made.ChunkAddr, fakes.TrafficWeights, made.ID, made.Location)
	case core.RolePlain:
		made.Service = load.ServiceName
	}
	f.platform.links.Register(made.SessionAddr, fakes.TrafficCalls, made.ID, made.Location)
	return made
}
