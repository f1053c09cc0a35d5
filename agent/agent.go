package agent

import (
	"context"
	"sync"
	"time"

	"github.com/snipestep/snipestep/configuration"
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
	"github.com/snipestep/snipestep/internal/bootclock"
	"github.com/snipestep/snipestep/internal/heldbytes"
	"github.com/snipestep/snipestep/weights/swarm"
	"github.com/snipestep/snipestep/wire"
)

const (
	shutdownTimeout = 5 * time.Second
	// minLeaveDuration is the minimum time for which a leaving agent refuses
	// calls, so that entries that do not know of the leave yet get an answer.
	minLeaveDuration = 300 * time.Millisecond
)

// Agent is the sidecar of one endpoint.
type Agent struct {
	cfg  Config
	deps Deps

	documents     *fleet.DocumentHolder
	state         *endpointState
	sched         *scheduler
	entries       *entryTable
	fenceGuard    *fenceGuard
	controller    *controller
	weightManager *weightManager
	reporter      *reporter
	configSync    *configSync
	callServer    *callServer
	tasks         *tasks
	counters      counters
	answers       *heldbytes.Budget
	pauses        pauseDetector

	faults    wire.ProtocolFaults
	listener  *wire.Listener
	datagrams *wire.DatagramTransport
	swarmNode *swarm.Node

	ready     chan struct{}
	readyOnce sync.Once
	killed    chan struct{}
	killOnce  sync.Once
}

// New returns an agent that does not run until Run is called.
func New(cfg Config, deps Deps) (*Agent, error) {
	deps = deps.withDefaults()
	cfg = cfg.withDefaults(deps.Now())
	a := &Agent{
		cfg:        cfg,
		deps:       deps,
		documents:  fleet.NewDocumentHolder(),
		state:      newEndpointState(cfg.Instance.ID, cfg.Incarnation),
		entries:    newEntryTable(),
		fenceGuard: &fenceGuard{},
		tasks:      newTasks(),
		answers:    heldbytes.NewBudget(cfg.AnswerBytes),
		pauses:     pauseDetector{now: bootclock.Now},
		ready:      make(chan struct{}),
		killed:     make(chan struct{}),
	}
	a.sched = newScheduler(queueConfig(cfg), deps.Now)
	if err := a.buildComponents(); err != nil {
		return nil, err
	}
	return a, nil
}

// Run serves until ctx ends and then leaves: it announces the leave, refuses
// new calls and waits for the running ones, at most Config.ShutdownGrace. It
// blocks until all components have stopped.
func (a *Agent) Run(ctx context.Context) error {
	if err := a.listen(); err != nil {
		a.shutdown()
		return err
	}
	a.tasks.start(a.sched.run)
	a.tasks.start(a.pauses.run)
	a.tasks.start(a.reporter.run)
	a.tasks.start(a.controller.watchEndpoint)
	a.tasks.start(a.configSync.run)
	a.tasks.start(a.sampler().Run)
	a.readyOnce.Do(func() { close(a.ready) })
	a.deps.Logger.Info("agent is running", "incarnation", a.cfg.Incarnation)
	select {
	case <-ctx.Done():
		a.leave()
	case <-a.killed:
	}
	a.shutdown()
	return nil
}

// listen binds the sockets.
func (a *Agent) listen() error {
	datagrams, err := wire.ListenDatagrams(a.cfg.Instance.DatagramAddr, a.cfg.FleetKey, a.handleDatagram)
	if err != nil {
		return err
	}
	a.datagrams = datagrams
	a.reporter.datagrams = datagrams
	self := wire.Identity{Instance: a.cfg.Instance.ID, Incarnation: a.cfg.Incarnation, FleetKey: a.cfg.FleetKey, Faults: &a.faults}
	a.listener, err = wire.Listen(a.cfg.Instance.SessionAddr, self, a.handleStream, a.entries.addSession)
	if err != nil {
		return err
	}
	if a.swarmNode == nil {
		return nil
	}
	return a.swarmNode.Start()
}

// handleDatagram handles an entry's datagram. It runs on the event loop of the
// datagram transport and must not block.
func (a *Agent) handleDatagram(datagram *wire.Datagram) {
	if !a.entries.recordDatagram(datagram, a.deps.Now()) {
		a.counters.staleDatagrams.Add(1)
		return
	}
	if a.reporter.strikes.add(datagram.GetStrikes(), a.deps.Now()) {
		a.reporter.triggerReport()
	}
	a.configSync.observe(generationObservation{
		entry:      core.InstanceID(datagram.GetInstance()),
		generation: core.Generation(datagram.GetGeneration()),
	})
}

// handleStream handles one stream that an entry opened.
func (a *Agent) handleStream(ctx context.Context, session *wire.Session, stream *wire.Stream, header *wire.StreamHeader) {
	switch req := header.GetRequest().(type) {
	case *wire.StreamHeader_Call:
		a.callServer.serve(ctx, session, stream, header)
	case *wire.StreamHeader_Order:
		a.countOrder(req.Order, a.controller.handleOrder(stream, req.Order))
	case *wire.StreamHeader_Status:
		_ = stream.Send(a.status())
	case *wire.StreamHeader_Config:
		a.handleConfigRequest(stream, req.Config)
	}
}

// handleConfigRequest sends an entry the newest configuration known to the agent.
func (a *Agent) handleConfigRequest(stream *wire.Stream, req *wire.ConfigRequest) {
	response, err := configuration.Respond(a.documents, req)
	if err != nil {
		a.deps.Logger.Error("preparing the configuration for an entry failed", "error", err.Error())
		return
	}
	_ = stream.Send(response)
}

// status returns the agent's response to a status request.
func (a *Agent) status() *wire.AgentStatus {
	target, have, total := a.weightManager.progress()
	running, slots := a.slotUsage()
	a.controller.mu.Lock()
	defer a.controller.mu.Unlock()
	return &wire.AgentStatus{
		Instance:    string(a.cfg.Instance.ID),
		Incarnation: a.cfg.Incarnation,
		Serving:     wire.ModelRefToProto(a.state.serving()),
		Fetching:    wire.ModelRefToProto(target),
		ChunksHave:  uint32(have),
		ChunksTotal: uint32(total),
		Draining:    a.controller.drainOrdered,
		Swapping:    a.controller.swapping,
		Leaving:     a.reporter.leaving.Load(),
		Running:     uint32(running),
		Slots:       uint32(slots),
		Generation:  uint64(a.documents.Generation()),
		Adapters:    a.controller.adapters,
		EngineRole:  a.controller.role,
		Fence:       uint64(a.fenceGuard.highestSeen()),
	}
}

// Ready is closed once the agent's sockets are open.
func (a *Agent) Ready() <-chan struct{} {
	return a.ready
}

// Serving returns the model that the endpoint is known to serve.
func (a *Agent) Serving() core.ModelRef {
	return a.state.serving()
}

// Generation returns the configuration generation in force at the agent.
func (a *Agent) Generation() core.Generation {
	return a.documents.Generation()
}

// ControlBytes returns the number of datagram bytes sent so far.
func (a *Agent) ControlBytes() int64 {
	if a.datagrams == nil {
		return 0
	}
	return a.datagrams.SentBytes()
}

// leave announces that the agent leaves, and waits until its running calls have
// ended and the final event of every call is delivered.
func (a *Agent) leave() {
	a.reporter.announceLeave()
	minLeave := time.NewTimer(minLeaveDuration)
	defer minLeave.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), a.cfg.ShutdownGrace)
	defer cancel()
	a.controller.drain(ctx, a.cfg.ShutdownGrace/2, true)
	select {
	case <-minLeave.C:
	case <-ctx.Done():
	}
	a.callServer.activeCalls.waitIdle(ctx)
}

// shutdown stops all components. Some of them are nil if listen failed.
func (a *Agent) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	a.tasks.stop()
	if a.listener != nil {
		_ = a.listener.Close()
	}
	if a.swarmNode != nil {
		_ = a.swarmNode.Stop(ctx)
	}
	if a.datagrams != nil {
		_ = a.datagrams.Close(ctx)
	}
}

// Kill stops Run at once without leaving, like a crash.
func (a *Agent) Kill() {
	a.killOnce.Do(func() { close(a.killed) })
}
