package sidecar

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

// Reconciler keeps one engine at the declared version and reports its load. The
// reconcile loop and the reporter share switching and engineState.
type Reconciler struct {
	config Config
	deps   Deps
	node   *swarm.Node

	// switching is set while a version switch is announced or in progress, and after one in
	// which the engine may have loaded corrupt chunks.
	switching atomic.Bool
	// switchRunning is set while switchVersion runs, switches waits for it.
	switchRunning atomic.Bool
	switches      sync.WaitGroup
	// engineState is nil until the engine answers, and while it does not.
	engineState atomic.Pointer[EngineState]
	// lastReport, lastRefreshAt, pace and lastDeclarations are used by the reporter only.
	lastReport loadreport.Report
	// lastRefreshAt is when all entries last got a report.
	lastRefreshAt time.Time
	pace          reportPace
	// engineStart is used by the reporter only.
	engineStart engineStart
	// clocks bounds when the version ages of entries were sent.
	clocks *loadreport.ClockExchange
	// lastDeclarations are those of the last VersionAges.
	lastDeclarations []directory.Declaration
	engines          engineListReceiver
	// membership is used by the reconcile loop only, which derives downloadAllowed
	// from it.
	membership      membershipDebounce
	downloadAllowed atomic.Bool

	mu        sync.Mutex
	downloads map[uint64]*download // By version.
}

// New returns a Reconciler that starts to listen in Run.
func New(config Config, deps Deps) (*Reconciler, error) {
	r := &Reconciler{config: config, deps: deps, clocks: loadreport.NewClockExchange(deps.Now()), downloads: make(map[uint64]*download)}
	node, err := r.newSwarmNode()
	r.node = node
	return r, err
}

// Run reconciles the engine and reports its load until ctx ends.
func (r *Reconciler) Run(ctx context.Context) error {
	if err := r.node.Start(); err != nil {
		return err
	}
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() { r.runReporter(ctx) })
	running.Go(func() { r.versionSampler().Run(ctx) })
	r.reconcileLoop(ctx)
	return nil
}

// reconcileInterval is the interval between two comparisons of the engine's version
// with the declared one, and the maximum delay of a scheduled switch.
const reconcileInterval = 100 * time.Millisecond

// reconcileLoop reconciles the engine with the declared version until ctx ends.
func (r *Reconciler) reconcileLoop(ctx context.Context) {
	defer r.switches.Wait()
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.reconcile(ctx)
		}
	}
}

// reconcile starts missing downloads, and switches the engine's version when the
// switch is due.
func (r *Reconciler) reconcile(ctx context.Context) {
	view := r.deps.Directory.View()
	state := r.engineState.Load()
	service := r.engineService(view)
	if service == nil {
		return
	}
	declared := view.DeclaredVersion(service.Model)
	if state == nil {
		r.prefetchFromPeers(ctx, view, service, declared)
		return
	}
	r.downloadAllowed.Store(r.mayDownload(time.Now(), view, declared))
	r.reconcileDownloads(ctx, view, service, declared, state)
	version, ok := r.dueVersion(r.deps.Now(), view, declared, state)
	if !ok || state.OrderInProgress || !r.switchRunning.CompareAndSwap(false, true) {
		return
	}
	// A switch lasts as long as the engine's streams. Versions that are declared meanwhile
	// have to be downloaded.
	r.switches.Go(func() {
		defer r.switchRunning.Store(false)
		if err := r.switchVersion(ctx, service, version, state); err != nil && ctx.Err() == nil {
			r.deps.Logger.Warn("switching the engine's version failed", "version", version, "held", state.LoadedVersion, "error", err)
		}
	})
}

// mayDownload reports whether downloads may start: at once if another engine has
// loaded the declared version, else as soon as the list of agents has settled.
func (r *Reconciler) mayDownload(now time.Time, view *directory.View, declared directory.DeclaredVersion) bool {
	if r.membership.settled {
		return true
	}
	var members []string
	for _, e := range r.serviceEngines(view) {
		members = append(members, e.Address)
	}
	slices.Sort(members)
	return r.membership.observe(now, r.config.EngineAddr, members) || r.loadedElsewhere(view, declared.Version)
}

// serviceEngines returns the listed engines of the service, including the local one.
func (r *Reconciler) serviceEngines(view *directory.View) []*directory.Endpoint {
	return slices.DeleteFunc(slices.Clone(view.LatestEndpoints()), func(e *directory.Endpoint) bool { return e.Service != r.config.Service })
}

func (r *Reconciler) engineService(view *directory.View) *directory.Service {
	if view.Document == nil {
		return nil
	}
	service := view.Document.Services[r.config.Service]
	if service == nil || service.Engine == nil {
		return nil
	}
	return service
}
