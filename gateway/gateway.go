package gateway

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/internal/connguard"
	"github.com/snipestep/snipestep/internal/heldbytes"
	"github.com/snipestep/snipestep/loadreport"
	"github.com/snipestep/snipestep/routing/admission"
	"github.com/snipestep/snipestep/routing/sharedrate"
	"github.com/snipestep/snipestep/strikes"
)

// Gateway serves callers. It is safe for concurrent use.
type Gateway struct {
	config  Config
	deps    Deps
	metrics *metrics

	services atomic.Pointer[map[string]*service]
	versions *versionMonitor
	random   *randomSource
	// migratable holds the streams that may migrate, unstarted the stream attempts
	// without a first event.
	migratable *attemptRegistry
	unstarted  *attemptRegistry
	// movable holds all attempts that may move off an endpoint that turns unresponsive.
	movable *attemptRegistry
	// unresponsive holds the endpoints that are unresponsive, with the time since which they are; only
	// superviseAttempts uses it.
	unresponsive map[string]time.Time
	// strikes holds the strikes against requests and parts of prompts, strikeNews those
	// to pass on.
	strikes *strikes.Ledger
	// answers bounds the memory for answers.
	answers    *heldbytes.Budget
	strikeNews *strikeNews
	trials     *trialGate
	// rateLimitNews has a value when a rate limit has changed.
	rateLimitNews chan struct{}
	crashes       *crashDetector
	// slowdownErrors knows which errors in figures of slowdown were logged.
	slowdownErrors *slowdownErrors
	// answerBy is set while the gateway drains: the time by which all requests have ended.
	answerBy  atomic.Pointer[time.Time]
	rejecting atomic.Bool
	active    atomic.Int64
	// stopped ends with ErrStopping when requests that still run are to be answered.
	stopped     context.Context
	endRequests context.CancelCauseFunc
	// endpointByAgent maps the IP address of an agent to its endpoint.
	endpointByAgent atomic.Pointer[map[netip.Addr]*directory.Endpoint]

	// engineLists holds the encoded engine lists by service. Only the loop that receives
	// datagrams uses it.
	engineLists map[string]encodedEngineList

	// startedAt is the time to which the timestamps in subscriptions are relative.
	startedAt time.Time
	// startedAtBoot is the same time by deps.Now.
	startedAtBoot time.Time
	// clocks bounds when the version ages of agents were sent.
	clocks *loadreport.ClockExchange
	// agesDue holds the datagram addresses of agents to which version ages are due.
	agesDue sync.Map

	// applyMu serialises applyView and guards retired.
	applyMu sync.Mutex
	// retired holds the services that the document no longer names but that still know
	// pauses or rate limits of endpoints, in case it names them again.
	retired map[string]*service
	// coldEntries is used by the loop that receives datagrams only, which derives
	// coldDivisor from it: the number of entries that share the rate of a cold endpoint, 0
	// until a settled agent names it.
	coldEntries *sharedrate.EntryCount
	coldDivisor atomic.Int64
	// entryCount is the number of live entries, 0 until an agent reports it.
	entryCount atomic.Int64
}

// New returns a gateway that is subscribed to the directory.
func New(config Config, deps Deps) *Gateway {
	deps.Transport = connguard.NewTransport(deps.Transport)
	g := &Gateway{config: config, deps: deps, metrics: newMetrics(deps.Scope), versions: newVersionMonitor(deps.Scope, deps.Logger), random: newRandomSource(config.Seed), migratable: newAttemptRegistry(), unstarted: newAttemptRegistry(), movable: newAttemptRegistry(), unresponsive: make(map[string]time.Time), strikeNews: newStrikeNews(), answers: heldbytes.NewBudget(heldbytes.DefaultLimit), trials: newTrialGate(), rateLimitNews: make(chan struct{}, 1), retired: make(map[string]*service), crashes: newCrashDetector(), slowdownErrors: newSlowdownErrors(), engineLists: make(map[string]encodedEngineList), startedAt: time.Now(), startedAtBoot: deps.Now(), clocks: loadreport.NewClockExchange(deps.Now()), coldEntries: sharedrate.NewEntryCount(time.Now())}
	g.strikes = strikes.NewLedger(quarantineConfig(g.random), partQuarantineConfig(g.random), time.Now)
	g.strikes.JudgeByChance(g.chanceOf, maxChance)
	g.services.Store(&map[string]*service{})
	g.endpointByAgent.Store(&map[netip.Addr]*directory.Endpoint{})
	g.stopped, g.endRequests = context.WithCancelCause(context.Background())
	deps.Directory.Subscribe(g.applyView)
	return g
}

// applyView updates the services and their pools from a view.
func (g *Gateway) applyView(view *directory.View) {
	if view.Document == nil {
		return
	}
	g.applyMu.Lock()
	defer g.applyMu.Unlock()
	next := g.servicesOf(view.Document)
	g.services.Store(&next)
	endpointByAgent := make(map[netip.Addr]*directory.Endpoint, len(view.Endpoints))
	endpointsByService := make(map[string][]admission.Endpoint, len(next))
	for _, e := range view.LatestEndpoints() {
		if addr, err := netip.ParseAddrPort(e.Address); err == nil && view.Document.Services[e.Service] != nil && view.Document.Services[e.Service].Engine != nil {
			endpointByAgent[addr.Addr()] = e
		}
		endpointsByService[e.Service] = append(endpointsByService[e.Service], admission.Endpoint{
			ID: e.ID, Region: e.Region, FailureDomain: e.FailureDomain, Slots: e.Slots, LoadedVersion: e.LoadedVersion, Draining: e.Draining, Leaving: e.Leaving, StartedUnixMS: e.StartedUnixMS,
			ColdRecord: coldRecord(view, e.ID),
			Evacuated:  view.IsEvacuated(e.FailureDomain),
		})
	}
	g.endpointByAgent.Store(&endpointByAgent)
	now := g.deps.Now()
	for name, s := range next {
		minVersion := g.minVersion(now, view, name, versionSafetyMargin)
		s.gate.Update(func(p *admission.Pool) {
			g.applyColdStart(time.Now(), view, name, p)
			p.SetEndpoints(time.Now(), endpointsByService[name])
			p.SetMinVersion(minVersion)
			if s.hasRateLimits.Load() {
				g.metrics.updateRateLimited(name, p.RateLimited())
			}
		})
		g.versions.observe(now, view, name, minVersion)
	}
}

// servicesOf returns the services of a document, and retires those that it no longer names.
// The caller holds applyMu.
func (g *Gateway) servicesOf(document *directory.Document) map[string]*service {
	previous := *g.services.Load()
	next := make(map[string]*service, len(document.Services))
	for name, s := range document.Services {
		if s.OriginAddress != "" {
			continue
		}
		next[name] = previous[name]
		if next[name] == nil {
			next[name] = g.retired[name]
		}
		if next[name] == nil {
			next[name] = g.newService(s)
		}
	}
	for name, s := range previous {
		if next[name] == nil {
			g.retired[name] = s
		}
	}
	g.forgetRetired(next)
	return next
}

// forgetRetired drops the retired services that are in use again or know nothing that could
// still matter. The caller holds applyMu.
func (g *Gateway) forgetRetired(inUse map[string]*service) {
	for name, s := range g.retired {
		if inUse[name] != nil {
			delete(g.retired, name)
			continue
		}
		matters := false
		s.gate.Update(func(p *admission.Pool) {
			p.SetEndpoints(time.Now(), nil)
			matters = p.HoldsNotices()
		})
		if !matters {
			delete(g.retired, name)
		}
	}
}

func (g *Gateway) newService(s *directory.Service) *service {
	svc := &service{
		name:        s.Name,
		retryBudget: newRetryBudget(g.config.RetryRatio, g.config.RetryBurst),
		parts:       newPartTracker(),
	}
	svc.firstResponseNanos.Store(int64(initialFirstResponse))
	svc.perTokenNanos.Store(int64(initialPerToken))
	svc.perTokenMilliBytes.Store(initialBytesPerToken * 1000)
	if entryCount := g.entryCount.Load(); entryCount > 0 {
		svc.retryBudget.setEntryCount(int(entryCount))
	}
	config := admission.Config{
		Region:          g.config.Region,
		AgentReports:    s.Engine != nil,
		ProbesEndpoints: s.Engine != nil && g.deps.Prober != nil,
		UseSlowdown:     g.config.UseSlowdown,
		Locality:        g.localityConfig(),
		Rand:            newRand(g.config.Seed, uint64(len(s.Name))),
	}
	if s.Engine != nil {
		config.PrefillTokensPerSecond = s.Engine.PrefillTokensPerSecond
	}
	pool := admission.NewPool(config)
	pool.SetEntryCount(int(g.entryCount.Load()))
	pool.SetRateLimitShare(svc.rateLimitShare.get(time.Now(), g.entryCount.Load()))
	svc.gate = admission.NewGate(pool, time.Now)
	return svc
}

// versionSafetyMargin is subtracted from VersionBound.
const versionSafetyMargin = directory.VersionSafetyMargin

// cancelSafetyMargin is how long before the end of VersionBound the gateway cancels
// requests that are queued at an endpoint with an outdated version: the engine can
// start such a request until the cancellation arrives.
const cancelSafetyMargin = 350 * time.Millisecond

// minVersion returns the oldest version on which a service may start a request, 0
// for a service without weights. A declared version becomes mandatory safetyMargin before
// the end of VersionBound. now is a time of deps.Now.
func (g *Gateway) minVersion(now time.Time, view *directory.View, serviceName string, safetyMargin time.Duration) uint64 {
	s := view.Document.Services[serviceName]
	if s == nil || s.Engine == nil {
		return 0
	}
	declared := view.DeclaredVersion(s.Model)
	return declared.Required(now, g.config.VersionBound-safetyMargin)
}

// imminentSwitchShare is the last part of VersionBound, in which endpoints without a version
// change their weights as soon as they have received it. Until then the changes are spread, and
// announced seconds before.
const imminentSwitchShare = 0.2

// imminentVersion returns the oldest version of a service whose endpoints are not about to load
// another one, 0 for a service without weights.
func (g *Gateway) imminentVersion(serviceName string) uint64 {
	margin := time.Duration(imminentSwitchShare * float64(g.config.VersionBound))
	return g.minVersion(g.deps.Now(), g.deps.Directory.View(), serviceName, margin)
}

// superviseInterval is how often VersionBound is enforced and unresponsive endpoints are looked for.
const superviseInterval = 100 * time.Millisecond

// Run receives load reports and supervises attempts until ctx ends.
func (g *Gateway) Run(ctx context.Context) error {
	var loops sync.WaitGroup
	defer loops.Wait()
	loops.Go(func() { g.superviseAttempts(ctx) })
	return g.receiveLoadReports(ctx)
}

// superviseAttempts raises the minimum version of each service when it is due, cancels queued
// requests at outdated endpoints, and moves requests off unresponsive ones.
func (g *Gateway) superviseAttempts(ctx context.Context) {
	ticker := time.NewTicker(superviseInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.enforceVersionsAt(g.deps.Now(), g.deps.Directory.View())
			now := time.Now()
			g.moveOffUnresponsive(now)
			g.probeUnresponsive(ctx, now)
		}
	}
}

// enforceVersionsAt enforces the versions of one view.
func (g *Gateway) enforceVersionsAt(now time.Time, view *directory.View) {
	if view.Document == nil {
		return
	}
	suspended := g.suspendedTime()
	for name, s := range *g.services.Load() {
		if view.Document.Services[name] == nil {
			// The view is older or newer than the services. It must not lift a bound.
			continue
		}
		minVersion := g.minVersion(now, view, name, versionSafetyMargin)
		s.gate.Update(func(p *admission.Pool) {
			p.SetMinVersion(minVersion)
			p.SetSuspended(suspended)
			p.Tick(time.Now())
		})
		g.logColdChanges(s)
		g.versions.observe(now, view, name, minVersion)
		if cancelBelow := g.minVersion(now, view, name, cancelSafetyMargin); cancelBelow > 0 {
			g.cancelOutdated(view, name, s, cancelBelow)
		}
	}
}

// Ready reports whether the entry can serve new callers.
func (g *Gateway) Ready() bool {
	return g.answerBy.Load() == nil && g.deps.Directory.View().Document != nil
}

// ErrNotReady reports an entry that is draining or has no document yet.
var ErrNotReady = eris.New("entry stops or knows no document")

// CheckReady returns nil if the entry can serve new callers, else ErrNotReady.
func (g *Gateway) CheckReady() error {
	if !g.Ready() {
		return ErrNotReady
	}
	return nil
}

// Drain makes the gateway not ready and closes each connection after its next
// response. Requests that arrive from now on are forwarded only if they are likely to end by
// answerBy.
func (g *Gateway) Drain(answerBy time.Time) {
	g.answerBy.Store(&answerBy)
}

// ErrStopping reports a request that was still running when its entry had to end.
var ErrStopping = eris.New("the entry stops")

// EndRequests ends all requests that still run. Each gets an answer that says whether it may
// have run; a stream that has begun is broken off.
func (g *Gateway) EndRequests() {
	g.endRequests(ErrStopping)
}

// closeAfterResponse makes a response the last one on its connection if the gateway drains.
func (g *Gateway) closeAfterResponse(header http.Header) {
	if g.answerBy.Load() != nil {
		header.Set("Connection", "close")
	}
}

// RejectNew makes the gateway refuse new requests; active ones continue. It is called
// after Drain, when the balancer has had time to send callers elsewhere. The balancer
// keeps sending them here while most entries of a failure domain stop.
func (g *Gateway) RejectNew() {
	g.rejecting.Store(true)
}

// Active returns the number of requests in progress.
func (g *Gateway) Active() int64 {
	return g.active.Load()
}

// ServeReady answers the balancer's readiness checks.
func (g *Gateway) ServeReady(w http.ResponseWriter, _ *http.Request) {
	if !g.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
