package agent

import (
	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/internal/bootclock"
	"github.com/snipestep/snipestep/routing"
	"github.com/snipestep/snipestep/weights/swarm"
)

// queueAhead is how many calls of each rank wait at an agent beyond its free
// slots. The others wait at the entries, which learn at once when a call ends.
const queueAhead = 1

func queueConfig(cfg Config) routing.QueueConfig {
	return routing.QueueConfig{Slots: cfg.Slots, MaxWaiting: cfg.MaxWaiting, QueueAhead: queueAhead}
}

// buildComponents builds and connects the components of the agent.
func (a *Agent) buildComponents() error {
	if a.deps.Engine != nil {
		node, err := a.newSwarmNode()
		if err != nil {
			return eris.Wrap(err, "create the swarm node")
		}
		a.swarmNode = node
	}
	a.weightManager = &weightManager{
		node:      a.swarmNode,
		entries:   a.entries,
		origin:    a.deps.Origin,
		policy:    a.cfg.Policy,
		logger:    a.deps.Logger,
		startTask: a.tasks.start,
	}
	a.reporter = &reporter{
		entries:     a.entries,
		sched:       a.sched,
		state:       a.state,
		self:        a.cfg.Instance,
		incarnation: a.cfg.Incarnation,
		slots:       a.cfg.Slots,
		generation:  a.documents.Generation,
		strikes:     &strikeRelay{},
		now:         a.deps.Now,
		trigger:     make(chan struct{}, 1),
	}
	a.reporter.draining.Store(true)
	a.controller = &controller{
		engine:        a.deps.Engine,
		checksFencing: a.cfg.ChecksFencing,
		sched:         a.sched,
		state:         a.state,
		fenceGuard:    a.fenceGuard,
		weightManager: a.weightManager,
		reporter:      a.reporter,
		logger:        a.deps.Logger,
		startTask:     a.tasks.start,
	}
	a.configSync = &configSync{
		entries:      a.entries,
		documents:    a.documents,
		sched:        a.sched,
		logger:       a.deps.Logger,
		onApply:      a.reporter.triggerReport,
		observations: make(chan generationObservation, 1),
	}
	a.callServer = &callServer{
		sched:    a.sched,
		runner:   a.newRunner(),
		tracer:   a.deps.Tracer,
		now:      a.deps.Now,
		bootNow:  bootclock.Now,
		policy:   a.cfg.Policy,
		counters: &a.counters,
		answers:  a.answers,
		pauses:   &a.pauses,
		logger:   a.deps.Logger,
	}
	return nil
}

func (a *Agent) newSwarmNode() (*swarm.Node, error) {
	self := swarm.Peer{
		ID:        a.cfg.Instance.ID,
		Location:  a.cfg.Instance.Location,
		ChunkAddr: a.cfg.Instance.ChunkAddr,
	}
	return swarm.NewNode(
		swarm.Config{
			Self:         self,
			OriginRegion: a.cfg.OriginRegion,
			Seed:         a.cfg.Seed,
			RateBytes:    a.cfg.IdleFetchBytesPerSecond,
			MinRateShare: a.cfg.busyFetchShare(),
		},
		swarm.Deps{
			Dial:          a.deps.Dial,
			Origin:        a.deps.Origin,
			Store:         a.deps.Store,
			Logger:        a.deps.Logger,
			Scope:         a.deps.Scope,
			InferenceLoad: a.slotUsage,
			FleetKey:      a.cfg.FleetKey,
		},
	)
}

// slotUsage returns the number of running calls and of slots. Transfers yield to
// running calls.
func (a *Agent) slotUsage() (running, slots int) {
	for _, n := range a.sched.load.Load().Running {
		running += n
	}
	return running, a.cfg.Slots
}

func (a *Agent) newRunner() runner {
	if a.deps.Engine != nil {
		return &modelRunner{engine: a.deps.Engine, state: a.state, sched: a.sched, counters: &a.counters, answers: a.answers, logger: a.deps.Logger}
	}
	return &plainRunner{service: a.cfg.Instance.Service, client: a.deps.PlainService, state: a.state, sched: a.sched, counters: &a.counters, logger: a.deps.Logger}
}
