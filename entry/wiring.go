package entry

import (
	"github.com/snipestep/snipestep/claim"
	"github.com/snipestep/snipestep/configuration"
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/routing"
	"github.com/snipestep/snipestep/wire"
)

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
	return wire.Identity{Instance: e.cfg.Instance.ID, Incarnation: e.cfg.Incarnation, FleetKey: e.cfg.FleetKey, Faults: &e.faults}
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
		lease: configuration.NewElection(configuration.ElectionConfig{
			KeyValue: e.deps.KeyValue,
			Clock:    configuration.Clock{Now: e.deps.Now},
			HolderID: e.calls.uniqueID(0),
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
