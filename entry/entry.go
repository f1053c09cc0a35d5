package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/claim"
	"github.com/snipestep/snipestep/configuration"
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
	"github.com/snipestep/snipestep/operator"
	"github.com/snipestep/snipestep/problem"
	"github.com/snipestep/snipestep/routing"
	"github.com/snipestep/snipestep/wire"
)

const (
	stopTimeout      = 5 * time.Second
	idleTimeout      = 2 * time.Minute
	maxHeaderBytes   = 16 << 10
	configAskTimeout = 2 * time.Second
)

// Entry is one entry instance.
type Entry struct {
	cfg  Config
	deps Deps
	// operatorTokens are the digests of operators' bearer tokens.
	operatorTokens []core.Digest

	held       *fleet.Generations
	store      *configuration.Store
	pool       *sessionPool
	routes     *routes
	dispatcher *dispatcher
	quarantine *quarantine
	calls      *callService
	claims     *claimService
	beacon     *beacon
	executor   *executor
	swarm      *swarmServer
	operators  *operatorService

	faults   wire.Faults
	listener *wire.Listener
	plane    *wire.Plane
	server   *http.Server

	// running ends everything but the calls; it ends after they did.
	running context.Context
	stop    context.CancelFunc
	wg      sync.WaitGroup
	leaving atomic.Bool
	ready   chan struct{}
	killed  chan struct{}
	kill    sync.Once
	// fetching is set while a document is fetched from an agent.
	fetching atomic.Bool
	// peers is the highest generation that an agent has shown.
	peers atomic.Uint64
}

// New returns an entry that is not running yet.
func New(cfg Config, deps Deps) (*Entry, error) {
	deps = deps.withDefaults()
	cfg = cfg.withDefaults(deps.Now())
	deps.KeyValue = countedKeyValue(deps)
	tokens, err := parseDigests(cfg.OperatorTokenDigests)
	if err != nil {
		return nil, err
	}
	e := &Entry{
		operatorTokens: tokens,
		cfg:            cfg,
		deps:           deps,
		held:           fleet.NewGenerations(),
		ready:          make(chan struct{}),
		killed:         make(chan struct{}),
	}
	e.running, e.stop = context.WithCancel(context.Background())
	e.store = configuration.NewStore(configuration.Config{
		KeyValue:       deps.KeyValue,
		Clock:          configuration.Clock{Now: deps.Now},
		PeerGeneration: e.peerGeneration,
		Logger:         deps.Logger,
	}, e.held)
	e.wireRequests()
	e.wireOperations()
	e.server = &http.Server{
		Handler:           e.Handler(),
		ReadHeaderTimeout: cfg.HeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return e, nil
}

func parseDigests(texts []string) ([]core.Digest, error) {
	digests := make([]core.Digest, 0, len(texts))
	for _, text := range texts {
		d, err := core.ParseDigest(text)
		if err != nil {
			return nil, err
		}
		digests = append(digests, d)
	}
	return digests, nil
}

func (e *Entry) identity() wire.Identity {
	return wire.Identity{Instance: e.cfg.Instance.ID, Incarnation: e.cfg.Incarnation, Key: e.cfg.FleetKey, Faults: &e.faults}
}

// wireRequests connects the parts on the path of a call.
func (e *Entry) wireRequests() {
	e.pool = newSessionPool(e.deps.Dial, e.identity(), e.serve, e.deps.Now)
	e.routes = newRoutes(e.cfg, e.deps, e.pool)
	e.routes.onAgent = e.onAgent
	e.quarantine = newQuarantine(e.deps.Now)
	policies := func() routing.Policies { return rankPolicies(e.held.Policy()) }
	e.dispatcher = newDispatcher(e.cfg, e.routes, policies, e.deps.Now)
	e.claims = &claimService{
		cfg:    e.cfg,
		kv:     e.deps.KeyValue,
		routes: e.routes,
		pool:   e.pool,
		logger: e.deps.Logger,
		scope:  e.deps.Scope,
		now:    e.deps.Now,
		ctx:    e.running,
		owners: make(map[int]*claim.Owner),
	}
	e.calls = &callService{
		cfg:        e.cfg,
		held:       e.held,
		routes:     e.routes,
		pool:       e.pool,
		dispatcher: e.dispatcher,
		quarantine: e.quarantine,
		claims:     e.claims,
		tracer:     e.deps.Tracer,
		scope:      e.deps.Scope,
		now:        e.deps.Now,
		budget:     routing.NewRetryBudget(routing.RetryBudgetConfig{Ratio: retryRatio, Burst: retryBurst}),
	}
}

// wireOperations connects the parts that carry out operators' intents.
func (e *Entry) wireOperations() {
	e.beacon = &beacon{
		cfg:     e.cfg,
		routes:  e.routes,
		held:    e.held,
		strikes: e.quarantine.recent,
		kick:    make(chan struct{}, 1),
	}
	e.quarantine.onStrike = e.beacon.urge
	collector := &collector{routes: e.routes, pool: e.pool}
	e.executor = &executor{
		lease: configuration.NewExecutor(configuration.ExecutorConfig{
			KeyValue: e.deps.KeyValue,
			Clock:    configuration.Clock{Now: e.deps.Now},
			Holder:   e.calls.uniqueID(0),
			MinFence: collector.highestFence,
			Logger:   e.deps.Logger,
		}),
		held:      e.held,
		collector: collector,
		pool:      e.pool,
		logger:    e.deps.Logger,
		scope:     e.deps.Scope,
		now:       e.deps.Now,
	}
	e.swarm = &swarmServer{
		held:      e.held,
		routes:    e.routes,
		store:     e.deps.WeightStore,
		manifests: make(map[core.Digest][]byte),
	}
	e.operators = &operatorService{
		kv:        e.deps.KeyValue,
		store:     e.store,
		weights:   e.deps.WeightStore,
		held:      e.held,
		collector: collector,
		executor:  e.executor,
		now:       e.deps.Now,
		logger:    e.deps.Logger,
		instance:  e.cfg.Instance.ID,
	}
}

// Handler serves callers and operators.
func (e *Entry) Handler() http.Handler {
	mux := http.NewServeMux()
	callers := &callerHandler{svc: e.calls, now: e.deps.Now}
	callers.register(mux)
	mux.Handle("/", operator.NewHandler(e.operators, e.operatorTokens))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.leaving.Load() {
			problem.Write(w, problemOf(leavingRefusal()))
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// Run serves until ctx ends, then leaves: it refuses new calls, waits for the
// running ones, at most Config.LeaveGrace, and stops. It blocks until
// everything has stopped.
func (e *Entry) Run(ctx context.Context) error {
	listener, err := e.open(ctx)
	if err != nil {
		e.shutdown()
		return err
	}
	for _, task := range []func(context.Context){
		e.routes.run, e.dispatcher.run, e.beacon.run, e.runStore, e.runExecutor, e.sampler().Run,
	} {
		e.wg.Go(func() { task(e.running) })
	}
	failed := make(chan error, 1)
	go func() { failed <- e.server.Serve(listener) }()
	close(e.ready)
	e.deps.Logger.Info("entry runs", "http", e.cfg.HTTPAddr)
	select {
	case <-ctx.Done():
		e.leave()
	case <-e.killed:
		_ = e.server.Close()
	case err = <-failed:
	}
	e.shutdown()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// runStore follows the configuration, and writes the first one where the
// key-value service holds none.
func (e *Entry) runStore(ctx context.Context) {
	e.writeInitial(ctx)
	watch := &duty{
		name:   dutyWatch,
		routes: e.routes,
		task:   e.store.Run,
		idle:   func(ctx context.Context) { _ = e.store.Load(ctx) },
	}
	watch.run(ctx)
}

// runExecutor stands for the executor's lease while that falls to this entry.
func (e *Entry) runExecutor(ctx context.Context) {
	stand := &duty{name: dutyExecutor, routes: e.routes, task: e.executor.run}
	stand.run(ctx)
}

// writeInitial makes Config.InitialDocument generation 1. Losing the race to
// another entry is fine: one of them is the first.
func (e *Entry) writeInitial(ctx context.Context) {
	if e.cfg.InitialDocument == nil {
		return
	}
	for ctx.Err() == nil {
		if err := e.store.Load(ctx); err != nil {
			pause(ctx, campaignPause)
			continue
		}
		if e.held.Generation() > 0 {
			return
		}
		first := e.cfg.InitialDocument.Clone()
		first.Generation = 1
		err := e.store.Commit(ctx, first)
		if err == nil {
			return
		}
		e.deps.Logger.Warn("first configuration not written", "error", err.Error())
		pause(ctx, campaignPause)
	}
}

// peerGeneration returns the highest generation that agents have shown.
func (e *Entry) peerGeneration() core.Generation {
	return core.Generation(e.peers.Load())
}

// open binds the sockets.
func (e *Entry) open(ctx context.Context) (net.Listener, error) {
	plane, err := wire.ListenPlane(e.cfg.Instance.DatagramAddr, e.cfg.FleetKey, e.routes.receive)
	if err != nil {
		return nil, err
	}
	e.plane = plane
	e.beacon.plane = plane
	e.listener, err = wire.Listen(e.cfg.Instance.SessionAddr, e.identity(), e.serve, nil)
	if err != nil {
		return nil, err
	}
	var cfg net.ListenConfig
	listener, err := cfg.Listen(ctx, "tcp", e.cfg.HTTPAddr)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for HTTP on %s", e.cfg.HTTPAddr)
	}
	return listener, nil
}

// serve handles one stream that an agent or another entry opened.
func (e *Entry) serve(ctx context.Context, _ *wire.Session, st *wire.Stream, h *wire.StreamHeader) {
	switch req := h.GetRequest().(type) {
	case *wire.StreamHeader_Config:
		e.serveConfig(st, req.Config)
	case *wire.StreamHeader_Swarm:
		e.swarm.serve(ctx, st, req.Swarm)
	case *wire.StreamHeader_Claim:
		e.claims.serveClaim(ctx, st, req.Claim)
	case *wire.StreamHeader_Outcome:
		e.claims.serveOutcome(ctx, st, req.Outcome)
	}
}

func (e *Entry) serveConfig(st *wire.Stream, r *wire.ConfigRequest) {
	answer, err := configuration.Respond(e.held, r)
	if err != nil {
		e.deps.Logger.Error("configuration cannot be sent", "error", err.Error())
		return
	}
	_ = st.Send(answer)
}

// onAgent takes what an agent's datagram says beside its load.
func (e *Entry) onAgent(d *wire.Datagram) {
	e.quarantine.merge(d.GetStrikes())
	if core.Generation(d.GetGeneration()) <= e.held.Generation() {
		return
	}
	// Only the loop of the routes writes peers.
	e.peers.Store(max(e.peers.Load(), d.GetGeneration()))
	if e.fetching.CompareAndSwap(false, true) {
		go e.fetchFrom(core.InstanceID(d.GetInstance()))
	}
}

// fetchFrom takes a newer configuration from an agent, which matters when the
// key-value service is away or came back older.
func (e *Entry) fetchFrom(agent core.InstanceID) {
	defer e.fetching.Store(false)
	session := e.pool.open(agent)
	if session == nil {
		return
	}
	ctx, cancel := context.WithTimeout(e.running, configAskTimeout)
	defer cancel()
	answer := &wire.ConfigResponse{}
	err := session.Ask(ctx, &wire.StreamHeader{Request: &wire.StreamHeader_Config{
		Config: &wire.ConfigRequest{Generation: uint64(e.held.Generation())},
	}}, answer)
	if err != nil || len(answer.GetDocument()) == 0 {
		return
	}
	if doc, err := fleet.DecodeDocument(answer.GetDocument()); err == nil {
		e.store.Offer(doc)
	}
}

// Ready is closed once the entry serves.
func (e *Entry) Ready() <-chan struct{} {
	return e.ready
}

// Generation returns the configuration generation in force here.
func (e *Entry) Generation() core.Generation {
	return e.held.Generation()
}

// ControlBytes returns the bytes of datagrams sent so far.
func (e *Entry) ControlBytes() int64 {
	if e.plane == nil {
		return 0
	}
	return e.plane.SentBytes()
}

// Kill makes Run stop at once, without leaving, as a crash would.
func (e *Entry) Kill() {
	e.kill.Do(func() { close(e.killed) })
}

// leave refuses new calls and waits for the running ones.
func (e *Entry) leave() {
	e.leaving.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), e.cfg.LeaveGrace)
	defer cancel()
	_ = e.server.Shutdown(ctx)
	e.beacon.leaving.Store(true)
	for range leaveRepeats {
		e.beacon.broadcast()
	}
}

// shutdown stops everything; sockets may be missing after a failed open.
func (e *Entry) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_ = e.server.Close()
	e.stop()
	e.wg.Wait()
	e.claims.wg.Wait()
	e.pool.close()
	if e.listener != nil {
		_ = e.listener.Close()
	}
	if e.plane != nil {
		_ = e.plane.Close(ctx)
	}
}
