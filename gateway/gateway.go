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
	"github.com/snipestep/snipestep/routing/places"
)

// Gateway serves callers. It is safe for concurrent use.
type Gateway struct {
	config  Config
	deps    Deps
	metrics *metrics

	services atomic.Pointer[map[string]*service]
	draws    *draws
	moves    *moves
	// waiting holds the attempts that have not begun, by endpoint.
	waiting  *moves
	stopping atomic.Bool
	refusing atomic.Bool
	active   atomic.Int64
	// byAgent finds the endpoint of a load report by its instance.
	byAgent atomic.Pointer[map[netip.Addr]*directory.Endpoint]

	// born is where the stamps of asks begin.
	born time.Time

	// rebuildMu serialises changes of services.
	rebuildMu sync.Mutex
	// entries is the number of live entries, 0 until an agent told it.
	entries atomic.Int64
}

// New returns a gateway that follows the directory at once.
func New(config Config, deps Deps) *Gateway {
	g := &Gateway{config: config, deps: deps, metrics: newMetrics(deps.Scope), draws: newDraws(config.Seed), moves: newMoves(), waiting: newMoves(), born: time.Now()}
	g.services.Store(&map[string]*service{})
	g.byAgent.Store(&map[netip.Addr]*directory.Endpoint{})
	deps.Directory.Listen(g.rebuild)
	return g
}

// rebuild brings the services and their pools up to a view.
func (g *Gateway) rebuild(v *directory.View) {
	if v.Document == nil {
		return
	}
	g.rebuildMu.Lock()
	defer g.rebuildMu.Unlock()
	old := *g.services.Load()
	next := make(map[string]*service, len(v.Document.Services))
	for name, s := range v.Document.Services {
		if s.Origin != "" {
			continue
		}
		next[name] = old[name]
		if next[name] == nil {
			next[name] = g.newService(s)
		}
	}
	g.services.Store(&next)
	byAgent := make(map[netip.Addr]*directory.Endpoint, len(v.Endpoints))
	lists := make(map[string][]places.Endpoint, len(next))
	for _, e := range v.Living() {
		if at, err := netip.ParseAddrPort(e.Address); err == nil && v.Document.Services[e.Service] != nil && v.Document.Services[e.Service].Engine != nil {
			byAgent[at.Addr()] = e
		}
		lists[e.Service] = append(lists[e.Service], places.Endpoint{
			ID: e.ID, Region: e.Region, Slots: e.Slots, Held: e.Held, Draining: e.Draining,
		})
	}
	g.byAgent.Store(&byAgent)
	now := time.Now()
	for name, s := range next {
		oldest := g.oldestVersion(now, v, name, versionMargin)
		s.gate.Change(func(p *places.Pool) {
			p.SetEndpoints(now, lists[name])
			p.Require(oldest)
		})
	}
}

func (g *Gateway) newService(s *directory.Service) *service {
	made := &service{
		budget: newBudget(g.config.RetryRatio, g.config.RetryBurst),
	}
	made.firstAnswer.Store(int64(firstAnswerGuess))
	made.perToken.Store(int64(perTokenGuess))
	if n := g.entries.Load(); n > 0 {
		made.budget.setEntries(int(n))
	}
	config := places.Config{
		Region:   g.config.Region,
		Reported: s.Engine != nil,
		Rand:     newRand(g.config.Seed, uint64(len(s.Name))),
	}
	if s.Engine != nil {
		config.ReadRate = s.Engine.ReadRate
	}
	pool := places.NewPool(config)
	pool.SetEntries(int(max(g.entries.Load(), 1)))
	made.gate = places.NewGate(pool, time.Now)
	return made
}

// versionMargin is kept before the end of VersionBound: the entry learns of a
// version after it was declared, and a request needs time to begin.
// The longest such wait seen is half a second.
const versionMargin = 800 * time.Millisecond

// lastMargin is when requests that still wait at an endpoint with an old
// version are taken off it: an engine can begin one until it hears of that.
const lastMargin = 350 * time.Millisecond

// oldestVersion returns the oldest version on which a request may begin at a
// service from margin before the bound on, 0 for any.
func (g *Gateway) oldestVersion(now time.Time, v *directory.View, name string, margin time.Duration) uint64 {
	s := v.Document.Services[name]
	if s == nil || s.Engine == nil {
		return 0
	}
	declared := v.VersionOf(s.Model)
	bound := g.config.VersionBound - margin
	switch {
	case declared.Since.IsZero() || now.Sub(declared.Since) >= bound:
		return declared.Version
	case declared.PreviousSince.IsZero() || now.Sub(declared.PreviousSince) >= bound:
		return declared.Previous
	default:
		return 0
	}
}

// versionTick is how often the bound of declared versions is looked at.
const versionTick = 100 * time.Millisecond

// Run asks agents for reports and keeps the bounds of versions until ctx ends.
func (g *Gateway) Run(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() { g.enforceVersions(ctx) })
	return g.followLoads(ctx)
}

// enforceVersions raises the oldest version once its time has come.
func (g *Gateway) enforceVersions(ctx context.Context) {
	ticker := time.NewTicker(versionTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			v := g.deps.Directory.View()
			if v.Document == nil {
				continue
			}
			for name, s := range *g.services.Load() {
				oldest := g.oldestVersion(now, v, name, versionMargin)
				s.gate.Change(func(p *places.Pool) { p.Require(oldest) })
				if last := g.oldestVersion(now, v, name, lastMargin); last > 0 {
					g.endOutdated(v, name, s, last)
				}
			}
		}
	}
}

// Ready reports whether the entry can serve new callers.
func (g *Gateway) Ready() bool {
	return !g.stopping.Load() && g.deps.Directory.View().Document != nil
}

// ErrNotReady is why an entry takes no new callers: it stops, or knows no
// document yet.
var ErrNotReady = eris.New("entry stops or knows no document")

// CheckReady returns nil if the entry can serve new callers, else ErrNotReady.
func (g *Gateway) CheckReady() error {
	if !g.Ready() {
		return ErrNotReady
	}
	return nil
}

// Drain makes the gateway not ready and closes connections after the answers
// that are under way.
func (g *Gateway) Drain() {
	g.stopping.Store(true)
}

// Refuse turns new requests away; those under way go on. It follows Drain once
// the balancer has had time to send callers elsewhere: it goes on sending them
// here while most entries of a failure domain stop.
func (g *Gateway) Refuse() {
	g.refusing.Store(true)
}

// Active returns the number of requests that are not answered yet.
func (g *Gateway) Active() int64 {
	return g.active.Load()
}

// ServeReady answers the balancer's question whether the entry is ready.
func (g *Gateway) ServeReady(w http.ResponseWriter, _ *http.Request) {
	if !g.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
