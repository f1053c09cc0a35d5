package keeper

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/loadreport"
	"github.com/snipestep/snipestep/weights/swarm"
)

// Keeper keeps one engine. Run owns it; closing and state are also read by the
// reporter.
type Keeper struct {
	config Config
	deps   Deps
	node   *swarm.Node

	// closing says that the engine is about to change its version.
	closing atomic.Bool
	state   atomic.Pointer[EngineState]
	// reported is the last report sent; the reporter owns both.
	reported   loadreport.Report
	reportedAt time.Time
	// settling belongs to keep; mayCopy is what it came to.
	settling settling
	mayCopy  atomic.Bool

	mu      sync.Mutex
	fetches map[uint64]*fetch // By version.
}

// New returns a keeper that does not listen yet.
func New(config Config, deps Deps) (*Keeper, error) {
	k := &Keeper{config: config, deps: deps, fetches: make(map[uint64]*fetch)}
	node, err := k.newNode()
	k.node = node
	return k, err
}

// Run keeps the engine until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	if err := k.node.Start(); err != nil {
		return err
	}
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() { k.report(ctx) })
	k.keep(ctx)
	return nil
}

// keepTick is how often the engine's version is compared with the declared
// one; a turn is met within it.
const keepTick = 100 * time.Millisecond

// keep compares the engine with the declared version until ctx ends.
func (k *Keeper) keep(ctx context.Context) {
	ticker := time.NewTicker(keepTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			k.step(ctx)
		}
	}
}

// step starts missing copies and changes the engine's version when its turn
// has come.
func (k *Keeper) step(ctx context.Context) {
	view := k.deps.Directory.View()
	state := k.state.Load()
	service := k.service(view)
	if service == nil {
		return
	}
	declared := view.VersionOf(service.Model)
	if state == nil {
		k.fetchEarly(ctx, view, service, declared)
		return
	}
	k.mayCopy.Store(k.settled(time.Now(), view, declared))
	k.fetchMissing(ctx, view, service, declared, state)
	version, ok := k.due(time.Now(), view, declared, state)
	if !ok || state.Busy {
		return
	}
	if err := k.change(ctx, service, version, state); err != nil && ctx.Err() == nil {
		k.deps.Logger.Warn("changing the version failed", "version", version, "held", state.Held, "error", err)
	}
}

// settled reports whether the copy of a version may begin: at once if another
// engine holds it, else when the list of agents has settled after the start.
func (k *Keeper) settled(now time.Time, view *directory.View, declared directory.Declared) bool {
	if k.settling.done {
		return true
	}
	var members []string
	for _, e := range k.engines(view) {
		members = append(members, e.Address)
	}
	slices.Sort(members)
	return k.settling.see(now, k.config.Endpoint, members) || k.heldElsewhere(view, declared.Version)
}

// engines lists the living engines of the service, the own one among them.
func (k *Keeper) engines(view *directory.View) []*directory.Endpoint {
	return slices.DeleteFunc(view.Living(), func(e *directory.Endpoint) bool { return e.Service != k.config.Service })
}

func (k *Keeper) service(view *directory.View) *directory.Service {
	if view.Document == nil {
		return nil
	}
	service := view.Document.Services[k.config.Service]
	if service == nil || service.Engine == nil {
		return nil
	}
	return service
}
