package runner

import (
	"context"
	"log/slog"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/entry"
	"github.com/snipestep/snipestep/fleet"
	"github.com/snipestep/snipestep/local/load"
	"github.com/snipestep/snipestep/local/scenario"
)

// fleetKey authenticates the processes of a run to one another.
var fleetKey = []byte("snipestep-local-fleet-key")

// Generations of seeds beyond those of replaced nodes.
const plainSeed = 1 << 16

// fleetRun is a running fleet.
type fleetRun struct {
	scenario  *scenario.Scenario
	logger    *slog.Logger
	platform  *standIns
	addresses *addresses
	entries   []*program
	httpAddrs []string
	plains    []*node

	mu sync.Mutex
	// models are the nodes in service by number; retired ones are dead or
	// stopped.
	models  []*node
	retired []*node
}

// startFleet starts everything and leaves the engines without weights.
func startFleet(ctx context.Context, options Options) (*fleetRun, error) {
	f := &fleetRun{scenario: options.Scenario, logger: options.Logger}
	if err := f.start(ctx); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *fleetRun) start(ctx context.Context) error {
	var err error
	if f.addresses, err = newAddresses(ctx); err != nil {
		return err
	}
	if f.platform, err = startStandIns(ctx, f.scenario); err != nil {
		return err
	}
	for number := range f.scenario.Fleet.ModelReplicas {
		made, err := f.startModel(ctx, number, 0)
		if err != nil {
			return err
		}
		f.models = append(f.models, made)
	}
	for number := range f.scenario.Fleet.PlainReplicas {
		made, err := f.startPlain(ctx, number)
		if err != nil {
			return err
		}
		f.plains = append(f.plains, made)
	}
	for number := range f.scenario.Fleet.Entries {
		if err := f.startEntry(number); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleetRun) startEntry(number int) error {
	instance := f.instance(core.RoleEntry, number, 0)
	httpAddr := address(ipOf(instance), httpPort)
	client := f.platform.client(instance)
	service := func(url string) backing.HTTPConfig {
		return backing.HTTPConfig{BaseURL: url, Client: client, Timeout: platformTimeout}
	}
	made, err := entry.New(entry.Config{
		Instance:             instance,
		HTTPAddr:             httpAddr,
		FleetKey:             fleetKey,
		OperatorTokenDigests: []string{fleet.TokenDigest(operatorToken).String()},
		InitialDocument:      initialDocument(f.scenario),
		OriginRegion:         location(0).Region,
		Policy:               f.scenario.Run.Policy,
	}, entry.Deps{
		KeyValue:     backing.NewHTTPKeyValue(service(f.platform.keyValueURL)),
		InstanceList: backing.NewHTTPInstanceList(service(f.platform.listURL)),
		WeightStore:  backing.NewHTTPWeightStore(service(f.platform.storeURL)),
		Dial:         f.platform.links.Dialer(instance.ID, instance.Location),
		Logger:       f.logger.With("instance", instance.ID),
	})
	if err != nil {
		return err
	}
	started, err := startProgram(made, instance)
	if err != nil {
		return err
	}
	f.entries = append(f.entries, started)
	f.httpAddrs = append(f.httpAddrs, httpAddr)
	f.join(instance)
	return nil
}

func (f *fleetRun) join(instance core.Instance) {
	f.platform.list.Put(instance)
}

// seed returns the seed of one stand-in.
func (f *fleetRun) seed(number, generation int) uint64 {
	return uint64(f.scenario.Run.Seed)<<32 + uint64(generation)<<12 + uint64(number)
}

// oracle returns what the generator checks answers against.
func (f *fleetRun) oracle() load.Oracle {
	return load.Oracle{
		TokenText: tokenText,
		PlainBody: plainBody,
		Begun: func(prompt string) int {
			sum := 0
			for _, n := range f.everyModel() {
				sum += n.engine.Begun(prompt)
			}
			return sum
		},
		Runs: func(key string) int { return f.platform.ledger.Runs(load.PurchaseName, key, nil) },
	}
}

// liveModels returns the nodes in service.
func (f *fleetRun) liveModels() []*node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*node(nil), f.models...)
}

// everyModel returns all nodes, retired ones included.
func (f *fleetRun) everyModel() []*node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append(append([]*node(nil), f.models...), f.retired...)
}

// programs returns the live entries and agents.
func (f *fleetRun) programs() []*program {
	all := append([]*program(nil), f.entries...)
	for _, n := range append(f.liveModels(), f.plains...) {
		all = append(all, n.program)
	}
	return all
}

// close kills everything that still runs.
func (f *fleetRun) close() {
	var ends errgroup.Group
	for _, n := range append(f.everyModel(), f.plains...) {
		ends.Go(func() error { n.close(); return nil })
	}
	for _, p := range f.entries {
		ends.Go(func() error { p.kill(); return nil })
	}
	_ = ends.Wait()
	if f.platform != nil {
		f.platform.close()
	}
	if f.addresses != nil {
		f.addresses.close()
	}
}
