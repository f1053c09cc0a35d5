package agent

import (
	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/routing"
	"github.com/snipestep/snipestep/weights/swarm"
)

// queueAhead is the number of calls of each rank that wait at an agent beyond
// its free slots; the others wait at the entries, which are told at once when
// a call ends.
const queueAhead = 1

func queueConfig(cfg Config) routing.QueueConfig {
	return routing.QueueConfig{Slots: cfg.Slots, MaxWaiting: cfg.MaxWaiting, QueueAhead: queueAhead}
}

// wire connects the parts with one another.
func (a *Agent) wire() error {
	if a.deps.Engine != nil {
		node, err := a.newNode()
		if err != nil {
			return eris.Wrap(err, "make the swarm node")
		}
		a.node = node
	}
	a.weights = &weightKeeper{
		node:       a.node,
		entries:    a.entries,
		origin:     a.deps.Origin,
		policy:     a.cfg.Policy,
		logger:     a.deps.Logger,
		background: a.tasks.start,
	}
	a.reporter = &reporter{
		entries:     a.entries,
		sched:       a.sched,
		state:       a.state,
		self:        a.cfg.Instance,
		incarnation: a.cfg.Incarnation,
		slots:       a.cfg.Slots,
		generation:  a.held.Generation,
		strikes:     &strikeRelay{},
		now:         a.deps.Now,
		kick:        make(chan struct{}, 1),
	}
	a.reporter.draining.Store(true)
	a.control = &control{
		engine:        a.deps.Engine,
		checksFencing: a.cfg.ChecksFencing,
		sched:         a.sched,
		state:         a.state,
		fences:        a.fences,
		weights:       a.weights,
		reporter:      a.reporter,
		logger:        a.deps.Logger,
		background:    a.tasks.start,
	}
	a.sync = &configSync{
		entries: a.entries,
		held:    a.held,
		sched:   a.sched,
		logger:  a.deps.Logger,
		applied: a.reporter.urge,
		seen:    make(chan sighting, 1),
	}
	a.calls = &callServer{
		sched:  a.sched,
		runner: a.newRunner(),
		tracer: a.deps.Tracer,
		now:    a.deps.Now,
		policy: a.cfg.Policy,
		counts: &a.counts,
	}
	return nil
}

func (a *Agent) newNode() (*swarm.Node, error) {
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
			RateBytes:    a.cfg.IdleFetchRate,
			MinRateShare: a.cfg.busyFetchShare(),
		},
		swarm.Deps{
			Dial:     a.deps.Dial,
			Origin:   a.deps.Origin,
			Store:    a.deps.Store,
			Logger:   a.deps.Logger,
			Scope:    a.deps.Scope,
			Live:     a.liveCalls,
			FleetKey: a.cfg.FleetKey,
		},
	)
}

// liveCalls returns the running calls and the slots; transfers yield to them.
func (a *Agent) liveCalls() (running, slots int) {
	for _, n := range a.sched.load.Load().Running {
		running += n
	}
	return running, a.cfg.Slots
}

func (a *Agent) newRunner() runner {
	if a.deps.Engine != nil {
		return &modelRunner{engine: a.deps.Engine, state: a.state, sched: a.sched, counts: &a.counts}
	}
	return &plainRunner{service: a.cfg.Instance.Service, plain: a.deps.Plain, state: a.state, counts: &a.counts}
}
