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

	"github.com/snipestep/snipestep/configuration"
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
	"github.com/snipestep/snipestep/operator"
	"github.com/snipestep/snipestep/problem"
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

	held       *fleet.DocumentHolder
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

	faults   wire.ProtocolFaults
	listener *wire.Listener
	plane    *wire.DatagramTransport
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
		held:           fleet.NewDocumentHolder(),
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

// runExecutor stands for the executor's lease while that falls to this entry.
func (e *Entry) runExecutor(ctx context.Context) {
	stand := &duty{name: dutyExecutor, routes: e.routes, task: e.executor.run}
	stand.run(ctx)
}

// open binds the sockets.
func (e *Entry) open(ctx context.Context) (net.Listener, error) {
	plane, err := wire.ListenDatagrams(e.cfg.Instance.DatagramAddr, e.cfg.FleetKey, e.routes.receive)
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
	e.claims.awaitReports(ctx)
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
