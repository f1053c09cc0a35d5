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

// fleetKey authenticates the entries and agents of a run to each other.
var fleetKey = []byte("snipestep-local-fleet-key")

// plainSeedIncarnation keeps the seeds of plain services apart from those of
// engines and their replacements.
const plainSeedIncarnation = 1 << 16

// runningFleet holds the programs and fake services of a run.
type runningFleet struct {
	scenario   *scenario.Scenario
	logger     *slog.Logger
	platform   *fakePlatform
	addresses  *addressPool
	entries    []*program
	entryAddrs []string
	plainNodes []*node

	mu sync.Mutex
	// modelNodes are the engines in service; retiredNodes were killed or stopped.
	modelNodes   []*node
	retiredNodes []*node
}

// startFleet starts all programs and fake services. The engines have no weights.
func startFleet(ctx context.Context, options Options) (*runningFleet, error) {
	f := &runningFleet{scenario: options.Scenario, logger: options.Logger}
	if err := f.start(ctx); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *runningFleet) start(ctx context.Context) error {
	var err error
	if f.addresses, err = newAddressPool(ctx); err != nil {
		return err
	}
	if f.platform, err = startFakePlatform(ctx, f.scenario); err != nil {
		return err
	}
	for index := range f.scenario.Fleet.ModelReplicas {
		started, err := f.startModel(ctx, index, 0)
		if err != nil {
			return err
		}
		f.modelNodes = append(f.modelNodes, started)
	}
	for index := range f.scenario.Fleet.PlainReplicas {
		started, err := f.startPlain(ctx, index)
		if err != nil {
			return err
		}
		f.plainNodes = append(f.plainNodes, started)
	}
	for index := range f.scenario.Fleet.Entries {
		if err := f.startEntry(index); err != nil {
			return err
		}
	}
	return nil
}

func (f *runningFleet) startEntry(index int) error {
	instance := f.newInstance(core.RoleEntry, index, 0)
	httpAddr := address(ipOf(instance), httpPort)
	client := f.platform.httpClient(instance)
	httpConfig := func(url string) backing.HTTPConfig {
		return backing.HTTPConfig{BaseURL: url, Client: client, Timeout: platformTimeout}
	}
	entryComponent, err := entry.New(entry.Config{
		Instance:             instance,
		HTTPAddr:             httpAddr,
		FleetKey:             fleetKey,
		OperatorTokenDigests: []string{fleet.TokenDigest(operatorToken).String()},
		InitialDocument:      initialDocument(f.scenario),
		OriginRegion:         regionLocation(0).Region,
		Policy:               f.scenario.Run.Policy,
	}, entry.Deps{
		KeyValue:     backing.NewHTTPKeyValue(httpConfig(f.platform.keyValueURL)),
		InstanceList: backing.NewHTTPInstanceList(httpConfig(f.platform.listURL)),
		WeightStore:  backing.NewHTTPWeightStore(httpConfig(f.platform.storeURL)),
		Dial:         f.platform.links.Dialer(instance.ID, instance.Location),
		Logger:       f.logger.With("instance", instance.ID),
	})
	if err != nil {
		return err
	}
	started, err := startProgram(entryComponent, instance)
	if err != nil {
		return err
	}
	f.entries = append(f.entries, started)
	f.entryAddrs = append(f.entryAddrs, httpAddr)
	f.updateInstanceList(instance)
	return nil
}

func (f *runningFleet) updateInstanceList(instance core.Instance) {
	f.platform.list.Put(instance)
}

// seed returns the seed of one endpoint.
func (f *runningFleet) seed(index, incarnation int) uint64 {
	return uint64(f.scenario.Run.Seed)<<32 + uint64(incarnation)<<12 + uint64(index)
}

// oracle returns the oracle with which the generator checks responses.
func (f *runningFleet) oracle() load.Oracle {
	return load.Oracle{
		TokenText: tokenText,
		PlainBody: plainBody,
		Begun: func(prompt string) int {
			sum := 0
			for _, n := range f.allModelNodes() {
				sum += n.engine.PromptStarts(prompt)
			}
			return sum
		},
		Runs: func(key string) int { return f.platform.runCounter.Runs(load.PurchaseName, key, nil) },
	}
}

// liveModelNodes returns the engines in service.
func (f *runningFleet) liveModelNodes() []*node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*node(nil), f.modelNodes...)
}

// allModelNodes returns all engines, retired ones included.
func (f *runningFleet) allModelNodes() []*node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append(append([]*node(nil), f.modelNodes...), f.retiredNodes...)
}

// programs returns the live entries and agents.
func (f *runningFleet) programs() []*program {
	all := append([]*program(nil), f.entries...)
	for _, n := range append(f.liveModelNodes(), f.plainNodes...) {
		all = append(all, n.program)
	}
	return all
}

// close kills all programs and closes the fake services.
func (f *runningFleet) close() {
	var closing errgroup.Group
	for _, n := range append(f.allModelNodes(), f.plainNodes...) {
		closing.Go(func() error { n.close(); return nil })
	}
	for _, p := range f.entries {
		closing.Go(func() error { p.kill(); return nil })
	}
	_ = closing.Wait()
	if f.platform != nil {
		f.platform.close()
	}
	if f.addresses != nil {
		f.addresses.close()
	}
}
