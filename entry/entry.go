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
	"github.com/snipestep/snipestep/internal/ingress"
	"github.com/snipestep/snipestep/operator"
	"github.com/snipestep/snipestep/problem"
	"github.com/snipestep/snipestep/wire"
)

const (
	closeTimeout         = 5 * time.Second
	idleTimeout          = 2 * time.Minute
	maxHeaderBytes       = 16 << 10
	configRequestTimeout = 2 * time.Second
)

// Entry is one entry instance.
type Entry struct {
	cfg  Config
	deps Deps
	// operatorTokens are the digests of operators' bearer tokens.
	operatorTokens []core.Digest

	documents  *fleet.DocumentHolder
	store      *configuration.Store
	pool       *sessionPool
	routes     *routes
	dispatcher *dispatcher
	quarantine *quarantine
	calls      *callService
	claims     *claimService
	heartbeats *heartbeatSender
	executor   *executor
	swarm      *swarmServer
	operators  *operatorService

	faults    wire.ProtocolFaults
	listener  *wire.Listener
	transport *wire.DatagramTransport
	server    *http.Server

	// runCtx is the context of everything but the calls; it ends after them.
	runCtx   context.Context
	stop     context.CancelFunc
	tasks    sync.WaitGroup
	leaving  atomic.Bool
	ready    chan struct{}
	killed   chan struct{}
	killOnce sync.Once
	// fetchingDocument is set while a document is fetched from an agent.
	fetchingDocument atomic.Bool
	// highestPeerGeneration is the highest generation that an agent has announced.
	highestPeerGeneration atomic.Uint64
}

// New returns an entry that does not run yet.
func New(cfg Config, deps Deps) (*Entry, error) {
	deps = deps.withDefaults()
	cfg = cfg.withDefaults(deps.Now())
	deps.KeyValue = newCountedKeyValue(deps)
	tokens, err := parseDigests(cfg.OperatorTokenDigests)
	if err != nil {
		return nil, err
	}
	e := &Entry{
		operatorTokens: tokens,
		cfg:            cfg,
		deps:           deps,
		documents:      fleet.NewDocumentHolder(),
		ready:          make(chan struct{}),
		killed:         make(chan struct{}),
	}
	e.runCtx, e.stop = context.WithCancel(context.Background())
	e.store = configuration.NewStore(configuration.Config{
		KeyValue:       deps.KeyValue,
		PeerGeneration: e.peerGeneration,
		Logger:         deps.Logger,
	}, e.documents)
	e.assembleCallPath()
	e.assembleOperations()
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
	mux.Handle("/", passOnAtOnce(operator.NewHandler(e.operators, e.operatorTokens)))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := ingress.FromContext(r.Context()).BeginRequest(r.Header); err != nil {
			writeMemoryRefusal(w)
			return
		}
		if e.leaving.Load() {
			problem.Write(w, problemOf(leavingRefusal()))
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// passOnAtOnce wraps the operators' interface, whose requests lose nothing once their header was
// read.
func passOnAtOnce(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := ingress.FromContext(r.Context()).PassOn(); err != nil {
			writeMemoryRefusal(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// writeMemoryRefusal refuses a request for which callers hold too much memory.
func writeMemoryRefusal(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	problem.Write(w, problemOf(memoryRefusal()))
}

// memoryRefusal says that a request was not run since callers hold too much memory.
func memoryRefusal() *RefusedError {
	return &RefusedError{Status: http.StatusServiceUnavailable, Code: CodeCallersMemory, Detail: "callers hold too much memory", RetryAfter: time.Second}
}

// Run serves until ctx ends and then shuts down gracefully: it refuses new
// calls and waits up to Config.ShutdownGrace for the running ones. It blocks
// until everything has stopped.
func (e *Entry) Run(ctx context.Context) error {
	listener, err := e.listen(ctx)
	if err != nil {
		e.closeAll()
		return err
	}
	for _, task := range []func(context.Context){
		e.routes.run, e.dispatcher.run, e.heartbeats.run, e.followConfiguration, e.runExecutorTask, e.sampler().Run,
	} {
		e.tasks.Go(func() { task(e.runCtx) })
	}
	report := ingress.NewReport(e.deps.Logger, e.deps.Scope)
	e.tasks.Go(func() { report.Run(e.runCtx) })
	callers := ingress.NewListener(listener, ingress.Config{
		Memory: e.cfg.CallerMemory, MaxConns: e.cfg.MaxConns, Report: report,
		MaxHeadBytes: func() int { return maxHeaderBytes },
		MaxBodyBytes: func() int64 { return e.cfg.MaxBody },
	})
	e.server.ConnState, e.server.ConnContext = callers.ConnState, callers.ConnContext
	failed := make(chan error, 1)
	go func() { failed <- e.server.Serve(callers) }()
	close(e.ready)
	e.deps.Logger.Info("entry is serving", "http", e.cfg.HTTPAddr)
	select {
	case <-ctx.Done():
		e.stopGracefully()
	case <-e.killed:
		_ = e.server.Close()
	case err = <-failed:
	}
	e.closeAll()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// runExecutorTask campaigns for the executor's lease while this entry is assigned
// to do so.
func (e *Entry) runExecutorTask(ctx context.Context) {
	assigned := &assignedTask{name: taskExecuteConfiguration, routes: e.routes, task: e.executor.run}
	assigned.run(ctx)
}

// listen opens the sockets.
func (e *Entry) listen(ctx context.Context) (net.Listener, error) {
	transport, err := wire.ListenDatagrams(e.cfg.Instance.DatagramAddr, e.cfg.FleetKey, e.routes.receive)
	if err != nil {
		return nil, err
	}
	e.transport = transport
	e.heartbeats.transport = transport
	e.listener, err = wire.Listen(e.cfg.Instance.SessionAddr, e.identity(), e.serve, nil)
	if err != nil {
		return nil, err
	}
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(ctx, "tcp", e.cfg.HTTPAddr)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for HTTP on %s", e.cfg.HTTPAddr)
	}
	return listener, nil
}

// serve handles one stream that an agent or another entry opened.
func (e *Entry) serve(ctx context.Context, _ *wire.Session, stream *wire.Stream, h *wire.StreamHeader) {
	switch req := h.GetRequest().(type) {
	case *wire.StreamHeader_Config:
		e.serveConfig(stream, req.Config)
	case *wire.StreamHeader_Swarm:
		e.swarm.serve(ctx, stream, req.Swarm)
	case *wire.StreamHeader_Claim:
		e.claims.serveClaim(ctx, stream, req.Claim)
	case *wire.StreamHeader_Outcome:
		e.claims.serveOutcome(ctx, stream, req.Outcome)
	}
}

// Ready is closed once the entry serves.
func (e *Entry) Ready() <-chan struct{} {
	return e.ready
}

// Generation returns the configuration generation that is in force at this entry.
func (e *Entry) Generation() core.Generation {
	return e.documents.Generation()
}

// ControlBytes returns the number of datagram bytes sent so far.
func (e *Entry) ControlBytes() int64 {
	if e.transport == nil {
		return 0
	}
	return e.transport.SentBytes()
}

// Kill makes Run stop at once, without a graceful shutdown, as a crash would.
func (e *Entry) Kill() {
	e.killOnce.Do(func() { close(e.killed) })
}

// stopGracefully refuses new calls, waits for the running ones and announces to
// the agents that the entry is leaving.
func (e *Entry) stopGracefully() {
	e.leaving.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), e.cfg.ShutdownGrace)
	defer cancel()
	shutDown(e.server, e.cfg.ShutdownGrace, e.calls.end)
	e.claims.awaitReports(ctx)
	e.heartbeats.leaving.Store(true)
	for range leavingBroadcasts {
		e.heartbeats.broadcast()
	}
}

// closeAll stops everything; after a failed listen some sockets are nil.
func (e *Entry) closeAll() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = e.server.Close()
	e.stop()
	e.tasks.Wait()
	e.claims.runningOwners.Wait()
	e.pool.closeAll()
	if e.listener != nil {
		_ = e.listener.Close()
	}
	if e.transport != nil {
		_ = e.transport.Close(ctx)
	}
}
