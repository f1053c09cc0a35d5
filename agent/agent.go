package agent

import (
	"context"
	"sync"
	"time"

	"github.com/snipestep/snipestep/configuration"
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
	"github.com/snipestep/snipestep/weights/swarm"
	"github.com/snipestep/snipestep/wire"
)

const (
	stopTimeout = 5 * time.Second
	// leaveLinger is how long a leaving agent still refuses calls, so that
	// entries that have not heard yet get an answer.
	leaveLinger = 300 * time.Millisecond
)

// Agent is the process beside one endpoint.
type Agent struct {
	cfg  Config
	deps Deps

	held     *fleet.DocumentHolder
	state    *endpointState
	sched    *scheduler
	entries  *entryTable
	fences   *fences
	control  *control
	weights  *weightKeeper
	reporter *reporter
	sync     *configSync
	calls    *callServer
	tasks    *tasks
	counts   counts

	faults   wire.Faults
	listener *wire.Listener
	plane    *wire.Plane
	node     *swarm.Node

	ready     chan struct{}
	readyOnce sync.Once
	killed    chan struct{}
	killOnce  sync.Once
}

// New returns an agent that is not running yet.
func New(cfg Config, deps Deps) (*Agent, error) {
	deps = deps.withDefaults()
	cfg = cfg.withDefaults(deps.Now())
	a := &Agent{
		cfg:     cfg,
		deps:    deps,
		held:    fleet.NewDocumentHolder(),
		state:   newEndpointState(cfg.Instance.ID, cfg.Incarnation),
		entries: newEntryTable(),
		fences:  &fences{},
		tasks:   newTasks(),
		ready:   make(chan struct{}),
		killed:  make(chan struct{}),
	}
	a.sched = newScheduler(queueConfig(cfg), deps.Now)
	if err := a.wire(); err != nil {
		return nil, err
	}
	return a, nil
}

// Run serves until ctx ends, then leaves: it announces it, refuses new calls
// and waits for the running ones, at most Config.LeaveGrace. It blocks until
// everything has stopped.
func (a *Agent) Run(ctx context.Context) error {
	if err := a.open(); err != nil {
		a.shutdown()
		return err
	}
	a.tasks.start(a.sched.run)
	a.tasks.start(a.reporter.run)
	a.tasks.start(a.control.watch)
	a.tasks.start(a.sync.run)
	a.tasks.start(a.sampler().Run)
	a.readyOnce.Do(func() { close(a.ready) })
	a.deps.Logger.Info("agent runs", "incarnation", a.cfg.Incarnation)
	select {
	case <-ctx.Done():
		a.leave()
	case <-a.killed:
	}
	a.shutdown()
	return nil
}

// open binds the sockets.
func (a *Agent) open() error {
	plane, err := wire.ListenPlane(a.cfg.Instance.DatagramAddr, a.cfg.FleetKey, a.receive)
	if err != nil {
		return err
	}
	a.plane = plane
	a.reporter.plane = plane
	self := wire.Identity{Instance: a.cfg.Instance.ID, Incarnation: a.cfg.Incarnation, Key: a.cfg.FleetKey, Faults: &a.faults}
	a.listener, err = wire.Listen(a.cfg.Instance.SessionAddr, self, a.serve, a.entries.opened)
	if err != nil {
		return err
	}
	if a.node == nil {
		return nil
	}
	return a.node.Start()
}

// receive takes a datagram of an entry on the event loop of the plane.
func (a *Agent) receive(d *wire.Datagram) {
	if !a.entries.heard(d, a.deps.Now()) {
		a.counts.old.Add(1)
		return
	}
	if a.reporter.strikes.add(d.GetStrikes(), a.deps.Now()) {
		a.reporter.urge()
	}
	a.sync.saw(sighting{
		entry:      core.InstanceID(d.GetInstance()),
		generation: core.Generation(d.GetGeneration()),
	})
}

// serve handles one stream that an entry opened.
func (a *Agent) serve(ctx context.Context, _ *wire.Session, st *wire.Stream, h *wire.StreamHeader) {
	switch req := h.GetRequest().(type) {
	case *wire.StreamHeader_Call:
		a.calls.serve(ctx, st, h)
	case *wire.StreamHeader_Order:
		a.countOrder(req.Order, a.control.serve(st, req.Order))
	case *wire.StreamHeader_Status:
		_ = st.Send(a.status())
	case *wire.StreamHeader_Config:
		a.serveConfig(st, req.Config)
	}
}

// serveConfig gives an entry the configuration held here.
func (a *Agent) serveConfig(st *wire.Stream, r *wire.ConfigRequest) {
	answer, err := configuration.Respond(a.held, r)
	if err != nil {
		a.deps.Logger.Error("configuration cannot be sent", "error", err.Error())
		return
	}
	_ = st.Send(answer)
}

// status says what the agent holds and serves.
func (a *Agent) status() *wire.AgentStatus {
	target, have, total := a.weights.progress()
	running, slots := a.liveCalls()
	a.control.mu.Lock()
	defer a.control.mu.Unlock()
	return &wire.AgentStatus{
		Instance:    string(a.cfg.Instance.ID),
		Incarnation: a.cfg.Incarnation,
		Serving:     wire.FromModelRef(a.state.serving()),
		Fetching:    wire.FromModelRef(target),
		ChunksHave:  uint32(have),
		ChunksTotal: uint32(total),
		Draining:    a.control.drained,
		Swapping:    a.control.swapping,
		Leaving:     a.reporter.leaving.Load(),
		Running:     uint32(running),
		Slots:       uint32(slots),
		Generation:  uint64(a.held.Generation()),
		Adapters:    a.control.adapters,
		EngineRole:  a.control.role,
		Fence:       uint64(a.fences.current()),
	}
}

// Ready is closed once the agent's sockets are open.
func (a *Agent) Ready() <-chan struct{} {
	return a.ready
}

// Serving returns what the endpoint is known to serve.
func (a *Agent) Serving() core.ModelRef {
	return a.state.serving()
}

// Generation returns the configuration generation in force here.
func (a *Agent) Generation() core.Generation {
	return a.held.Generation()
}

// ControlBytes returns the bytes of datagrams sent so far.
func (a *Agent) ControlBytes() int64 {
	if a.plane == nil {
		return 0
	}
	return a.plane.SentBytes()
}

// leave announces that the agent goes and waits until its running calls have
// ended and every call has got its final event.
func (a *Agent) leave() {
	a.reporter.announceLeave()
	linger := time.NewTimer(leaveLinger)
	defer linger.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), a.cfg.LeaveGrace)
	defer cancel()
	a.control.quiesce(ctx, a.cfg.LeaveGrace/2, true)
	select {
	case <-linger.C:
	case <-ctx.Done():
	}
	a.calls.active.wait(ctx)
}

// shutdown stops everything; the fields may be nil after a failed open.
func (a *Agent) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	a.tasks.stop()
	if a.listener != nil {
		_ = a.listener.Close()
	}
	if a.node != nil {
		_ = a.node.Stop(ctx)
	}
	if a.plane != nil {
		_ = a.plane.Close(ctx)
	}
}

// Kill makes Run stop at once, without leaving, as a crash would.
func (a *Agent) Kill() {
	a.killOnce.Do(func() { close(a.killed) })
}
