package entry

import (
	"context"

	"github.com/snipestep/snipestep/claim"
	"github.com/snipestep/snipestep/configuration"
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/internal/heldbytes"
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

// assembleCallPath creates the components that serve calls.
func (e *Entry) assembleCallPath() {
	e.pool = newSessionPool(e.deps.Dial, e.identity(), e.serve, e.deps.Now)
	e.routes = newRoutes(e.cfg, e.deps, e.pool)
	e.routes.onDatagram = e.handleAgentDatagram
	e.quarantine = newQuarantine(e.deps.Now)
	policies := func() routing.Policies { return rankPolicies(e.documents.Compiled()) }
	e.dispatcher = newDispatcher(e.cfg, e.routes, policies, e.deps.Now)
	e.claims = &claimService{
		cfg:    e.cfg,
		kv:     e.deps.KeyValue,
		routes: e.routes,
		pool:   e.pool,
		logger: e.deps.Logger,
		scope:  e.deps.Scope,
		now:    e.deps.Now,
		ctx:    e.runCtx,
		owners: make(map[int]*claim.Owner),
	}
	e.calls = &callService{
		cfg:         e.cfg,
		documents:   e.documents,
		routes:      e.routes,
		pool:        e.pool,
		dispatcher:  e.dispatcher,
		quarantine:  e.quarantine,
		claims:      e.claims,
		answers:     heldbytes.NewBudget(e.cfg.AnswerBytes),
		tracer:      e.deps.Tracer,
		scope:       e.deps.Scope,
		now:         e.deps.Now,
		retryBudget: routing.NewRetryBudget(routing.RetryBudgetConfig{Ratio: retryBudgetRatio, Burst: retryBudgetBurst}),
	}
	e.calls.ended, e.calls.end = context.WithCancel(context.Background())
}

// assembleOperations creates the components that carry out operators' intents.
func (e *Entry) assembleOperations() {
	e.heartbeats = &heartbeatSender{
		cfg:           e.cfg,
		routes:        e.routes,
		documents:     e.documents,
		recentStrikes: e.quarantine.recentStrikes,
		sendRequested: make(chan struct{}, 1),
	}
	e.quarantine.onStrike = e.heartbeats.requestSend
	collector := &statusCollector{routes: e.routes, pool: e.pool}
	e.executor = &executor{
		election: configuration.NewElection(configuration.ElectionConfig{
			KeyValue: e.deps.KeyValue,
			HolderID: e.calls.uniqueID(0),
			MinFence: collector.highestFence,
			Logger:   e.deps.Logger,
		}),
		documents: e.documents,
		collector: collector,
		pool:      e.pool,
		logger:    e.deps.Logger,
		scope:     e.deps.Scope,
		now:       e.deps.Now,
	}
	e.swarm = &swarmServer{
		documents:   e.documents,
		routes:      e.routes,
		weightStore: e.deps.WeightStore,
		manifests:   make(map[core.Digest][]byte),
	}
	e.operators = &operatorService{
		kv:          e.deps.KeyValue,
		configStore: e.store,
		weightStore: e.deps.WeightStore,
		documents:   e.documents,
		collector:   collector,
		executor:    e.executor,
		now:         e.deps.Now,
		logger:      e.deps.Logger,
		instance:    e.cfg.Instance.ID,
	}
}
