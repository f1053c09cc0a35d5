package keeper

import (
	"cmp"
	"context"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/loadreport"
	"github.com/snipestep/snipestep/weights"
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

	mu      sync.Mutex
	fetches map[uint64]*fetch // By version.
}

// fetch is the state of one version's copy, guarded by the keeper's mutex.
type fetch struct {
	cancel context.CancelFunc
	set    *weights.Set // nil until it is whole.
	whole  time.Time    // When it was.
	// have and total count the chunks, as of the last look at the progress.
	have, total int
	// stalled says that nothing came for a while.
	stalled bool
}

// New returns a keeper that does not listen yet.
func New(config Config, deps Deps) (*Keeper, error) {
	k := &Keeper{config: config, deps: deps, fetches: make(map[uint64]*fetch)}
	node, err := k.newNode()
	k.node = node
	return k, err
}

// newNode returns the swarm's node of this instance. It names no region of the
// origin, so that the regions take turns in drawing chunks from there: the
// instances of one region alone would have to send twice what the others do.
func (k *Keeper) newNode() (*swarm.Node, error) {
	return swarm.NewNode(swarm.Config{
		Self:          swarm.Peer{ID: peerID(k.config.ChunkAddr), Location: k.config.Location, ChunkAddr: k.config.ChunkAddr},
		Seed:          k.config.Seed,
		Picker:        pickerLimits(),
		Uploads:       weights.UploadLimits{Running: runningUploads},
		SendBytes:     idleShare * k.config.LinkBytes,
		BusySendShare: busySendShare / idleShare,
		RateBytes:     idleShare * k.config.LinkBytes,
		MinRateShare:  busyShare / idleShare,
		StallTimeout:  chunkStall,
		HaveDelay:     haveDelay,
	}, swarm.Deps{
		Origin:   k.deps.Origin,
		Store:    noStore{},
		Logger:   k.deps.Logger,
		Scope:    k.deps.Scope,
		FleetKey: k.config.FleetKey,
		Live:     k.live,
	})
}

// live returns the requests that the engine runs, and its slots.
func (k *Keeper) live() (running, slots int) {
	state := k.state.Load()
	service := k.service(k.deps.Directory.View())
	if state == nil || service == nil {
		return 0, 1
	}
	return state.Running, service.Engine.Slots
}

// Limits of the swarm for copies of a few megabytes that must be everywhere
// within seconds; the defaults of the swarm are made for gigabytes.
const (
	chunkStall = 900 * time.Millisecond
	haveDelay  = 20 * time.Millisecond
	// sourceTimeout bounds one chunk from the origin: two dozen fetchers that
	// share an origin of 6 Mbit/s wait 1.1 s for theirs. One that hangs keeps
	// every engine from the version.
	sourceTimeout = 1500 * time.Millisecond
	// idleShare and busyShare are the parts of the instance's link that chunks
	// may take, without requests and with one in every slot: the events of
	// streams go over the same link.
	idleShare = 0.97
	busyShare = 0.7
	// busySendShare is the part that chunks may take on the way out while
	// requests run.
	busySendShare = 0.8
	// runningUploads is the number of chunks that may wait to be sent; they go
	// one after the other.
	runningUploads = 4
)

func pickerLimits() weights.PickerConfig {
	return weights.PickerConfig{
		// Each fetcher draws one chunk at a time: more would share the origin's
		// link, so that the first ones arrive late and peers wait for them.
		OriginRequests: 1,
		// Requests to another region wait there until the chunk has come; many
		// open ones keep the link busy whatever the order of arrival.
		RegionRequests:  24,
		PeerRequests:    6,
		RequestsPerPeer: 2,
		// A refusal means that the peer sends other chunks; it is free again
		// after about one of them.
		RefusedRetry:    40 * time.Millisecond,
		MaxRefusedRetry: 80 * time.Millisecond,
		FallbackDelay:   500 * time.Millisecond,
		LastResortDelay: 1500 * time.Millisecond,
		StartGrace:      400 * time.Millisecond,
		DownTime:        800 * time.Millisecond,
		SuspectTime:     2 * time.Second,
		SourceRetry:     50 * time.Millisecond,
		SlowAfter:       1200 * time.Millisecond,
	}
}

// peerID names an agent by the IP of its instance.
func peerID(addr string) core.InstanceID {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return core.InstanceID(addr)
	}
	return core.InstanceID(host)
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
	k.fetchMissing(ctx, service, declared, state)
	version, ok := k.due(time.Now(), view, declared, state)
	if !ok || state.Busy {
		return
	}
	if err := k.change(ctx, service, version, state); err != nil && ctx.Err() == nil {
		k.deps.Logger.Warn("changing the version failed", "version", version, "held", state.Held, "error", err)
	}
}

// fetchEarly begins a copy before the engine answers, if peers can give it. A
// new engine needs a second to start, and holds nothing then. Where no peer
// holds the version, what lies staged at the engine may spare the copy.
func (k *Keeper) fetchEarly(ctx context.Context, view *directory.View, service *directory.Service, declared directory.Declared) {
	for _, e := range view.Living() {
		if e.Service == k.config.Service && e.Address != k.config.Endpoint && e.Held == declared.Version {
			k.fetchMissing(ctx, service, declared, &EngineState{Held: declared.Previous})
			return
		}
	}
}

// worthEnding reports whether a copy of the version before the declared one
// should go on: a good part of it is there, so that the origin has sent most of it, or the declared one stands still. k.mu is
// held.
func (k *Keeper) worthEnding(declared directory.Declared) bool {
	before := k.fetches[declared.Previous]
	if before != nil && (before.set != nil || 4*before.have >= before.total && before.total > 0) {
		return true
	}
	newest := k.fetches[declared.Version]
	return newest != nil && newest.stalled
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

// fetchMissing keeps copies of the declared version and, while the engine is
// behind both, of the one before. Older copies are dropped.
func (k *Keeper) fetchMissing(ctx context.Context, service *directory.Service, declared directory.Declared, state *EngineState) {
	k.mu.Lock()
	defer k.mu.Unlock()
	wanted := []uint64{declared.Version}
	previous := state.Held < declared.Previous && k.worthEnding(declared)
	if previous {
		wanted = append(wanted, declared.Previous)
	}
	for version, f := range k.fetches {
		keep := version == declared.Version || (version == declared.Previous && (previous || f.set != nil))
		if keep {
			continue
		}
		f.cancel()
		if f.set != nil {
			k.node.Drop(f.set.Digest())
		}
		delete(k.fetches, version)
	}
	for _, version := range wanted {
		if version == 0 || k.fetches[version] != nil {
			continue
		}
		fetchCtx, cancel := context.WithCancel(ctx)
		k.fetches[version] = &fetch{cancel: cancel}
		go k.fetch(fetchCtx, service.Model, version)
	}
}

// due returns the version that the engine should load now.
func (k *Keeper) due(now time.Time, view *directory.View, declared directory.Declared, state *EngineState) (uint64, bool) {
	at, version, ok := k.turn(view, declared, state)
	if !ok {
		return 0, false
	}
	early := state.Held == 0 || (idle(state) && version == declared.Version)
	return version, early || !now.Before(at)
}

// turn returns when the engine changes its version, and to which. It reports
// false while there is nothing to change to.
func (k *Keeper) turn(view *directory.View, declared directory.Declared, state *EngineState) (at time.Time, version uint64, ok bool) {
	if state.Held >= declared.Version {
		return time.Time{}, 0, false
	}
	place, count := k.place(view)
	if whole, ok := k.whole(declared.Version); ok {
		at := declared.Since.Add(turnAt(k.config.VersionBound, whole.Sub(declared.Since), place, count, false))
		if last := k.lastChance(declared, state); last.Before(at) {
			at = last
		}
		return at, declared.Version, true
	}
	if whole, ok := k.whole(declared.Previous); ok && declared.Previous > state.Held {
		at := declared.PreviousSince.Add(turnAt(k.config.VersionBound, whole.Sub(declared.PreviousSince), place, count, true))
		return at, declared.Previous, true
	}
	return time.Time{}, 0, false
}

// lastChance is when an engine that is behind the previous version too must
// change, so that it never serves it.
func (k *Keeper) lastChance(declared directory.Declared, state *EngineState) time.Time {
	if declared.PreviousSince.IsZero() || state.Held >= declared.Previous {
		return declared.Since.Add(k.config.VersionBound)
	}
	return declared.PreviousSince.Add(time.Duration(lastTurn * float64(k.config.VersionBound)))
}

func idle(state *EngineState) bool {
	return state.Running+state.Waiting == 0
}

// place returns the engine's place among those of its service, in an order
// that mixes the regions.
func (k *Keeper) place(view *directory.View) (place, count int) {
	var all []string
	for _, e := range view.Living() {
		if e.Service == k.config.Service {
			all = append(all, e.Address)
		}
	}
	slices.SortFunc(all, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), strings.Compare(a, b))
	})
	return max(slices.Index(all, k.config.Endpoint), 0), len(all)
}

// whole returns when the copy of a version was whole, and whether it is.
func (k *Keeper) whole(version uint64) (time.Time, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f := k.fetches[version]
	if f == nil || f.set == nil {
		return time.Time{}, false
	}
	return f.whole, true
}

func (k *Keeper) set(version uint64) *weights.Set {
	k.mu.Lock()
	defer k.mu.Unlock()
	if f := k.fetches[version]; f != nil {
		return f.set
	}
	return nil
}

// peers lists the agents of the engine's service.
func (k *Keeper) peers() []swarm.Peer {
	own, err := netip.ParseAddrPort(k.config.ChunkAddr)
	if err != nil {
		return nil
	}
	var peers []swarm.Peer
	for _, e := range k.deps.Directory.View().Living() {
		at, err := netip.ParseAddrPort(e.Address)
		if err != nil || e.Service != k.config.Service {
			continue
		}
		peers = append(peers, swarm.Peer{
			ID:        core.InstanceID(at.Addr().String()),
			Location:  core.Location{Region: e.Region, FailureDomain: e.Domain},
			ChunkAddr: netip.AddrPortFrom(at.Addr(), own.Port()).String(),
		})
	}
	slices.SortFunc(peers, func(a, b swarm.Peer) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return peers
}

// ErrNoStore reports that there is no cache in front of the origin.
var ErrNoStore = eris.New("there is no weight store")

// noStore stands where the swarm may use a cache in front of the origin.
type noStore struct{}

// Chunk implements backing.ChunkSource.
func (noStore) Chunk(context.Context, core.Digest, int) ([]byte, error) {
	return nil, ErrNoStore
}
