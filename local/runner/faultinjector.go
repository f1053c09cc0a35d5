package runner

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/local/wait"
)

const (
	replacementDelay = time.Second
	// leaveGrace is how long a leaving endpoint may still receive new calls.
	leaveGrace  = 3 * time.Second
	streamGrace = 2 * time.Second
	// Planned stops begin after the load's duration divided by plannedStopDivisor.
	plannedStopDivisor = 2
)

// faultInjector injects the faults of the scenario.
type faultInjector struct {
	fleet   *runningFleet
	actions *operatorActions

	mu     sync.Mutex // Guards random.
	random *rand.Rand
}

func newFaultInjector(f *runningFleet, a *operatorActions) *faultInjector {
	return &faultInjector{
		fleet:   f,
		actions: a,
		random:  rand.New(rand.NewPCG(uint64(f.scenario.Run.Seed), faultSequence)),
	}
}

// faultSequence is the sequence number of the random generator that picks victims.
const faultSequence = 1 << 20

// timedEvent runs at a time from the start of the load.
type timedEvent struct {
	startAt time.Duration
	run     func(ctx context.Context)
}

// events returns the timed faults of the scenario.
func (f *faultInjector) events() []timedEvent {
	s := f.fleet.scenario
	var all []timedEvent
	if s.Faults.KillAgents > 0 {
		all = append(all, timedEvent{s.Faults.KillAt, f.killAgents})
	}
	if s.Faults.HasStoreOutage() {
		all = append(all,
			timedEvent{s.Faults.StoreDownFrom, func(context.Context) { f.setStoreDown(true) }},
			timedEvent{s.Faults.StoreDownFrom + s.Faults.StoreDownFor, func(context.Context) { f.setStoreDown(false) }})
	}
	if s.Faults.PlannedStops > 0 {
		all = append(all, timedEvent{s.Load.Duration / plannedStopDivisor, f.stopEngines})
	}
	return all
}

// setPermanentFaults sets the faults that last for the whole run.
func (f *faultInjector) setPermanentFaults() {
	s := f.fleet.scenario
	seed := uint64(s.Run.Seed)
	f.fleet.platform.origin.SetCorruptRatio(s.Faults.CorruptChunkRatio, seed)
	f.fleet.platform.keyValue.SetDroppedResponseRatio(s.Faults.LoseCASAnswerRatio, seed)
}

func (f *faultInjector) setStoreDown(down bool) {
	f.actions.printProgress("key-value service down: %t", down)
	f.fleet.platform.keyValue.SetDown(down)
}

// killAgents kills some engines with their agents and, as the platform would,
// replaces each with a new instance.
func (f *faultInjector) killAgents(ctx context.Context) {
	victims := f.pickEngines(f.fleet.scenario.Faults.KillAgents)
	var kills sync.WaitGroup
	for _, victim := range victims {
		f.actions.printProgress("killing %s", victim.instance.ID)
		kills.Go(func() { f.fleet.kill(victim) })
	}
	kills.Wait()
	if !wait.For(ctx, replacementDelay) {
		return
	}
	for _, victim := range victims {
		if err := f.fleet.replace(ctx, victim); err != nil {
			f.actions.printProgress("replacement failed: %v", err)
		}
	}
}

// pickEngines returns up to count random engines in service.
func (f *faultInjector) pickEngines(count int) []*node {
	engines := f.fleet.liveModelNodes()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.random.Shuffle(len(engines), func(i, j int) { engines[i], engines[j] = engines[j], engines[i] })
	return engines[:min(count, len(engines))]
}

// stallLinks stalls the links from every second engine to some random engines.
func (f *faultInjector) stallLinks() {
	engines := f.fleet.liveModelNodes()
	for _, victim := range f.pickEngines(f.fleet.scenario.Faults.StallLinks) {
		for i, from := range engines {
			if i%2 == 0 && from != victim {
				f.fleet.platform.links.Stall(from.instance.ID, victim.instance.ID)
			}
		}
	}
}

// stopEngines stops some engines by an intent. Each agent ends once no call runs.
func (f *faultInjector) stopEngines(ctx context.Context) {
	ids, err := f.actions.stopEngines(ctx, f.fleet.scenario.Faults.PlannedStops, streamGrace)
	if err != nil {
		f.actions.printProgress("planned stop failed: %v", err)
		return
	}
	f.actions.printProgress("planned stop of %v", ids)
	deadline := time.Now().Add(leaveGrace)
	for _, n := range f.fleet.retire(ids) {
		n.abandonedBeforeStop = n.engine.Counts().Abandoned
		n.engine.MarkLeaving(deadline)
		go f.stopAfterGrace(ctx, n)
	}
}

// stopAfterGrace waits for the grace times, stops the agent of a node that an
// intent took out of service and removes the instance from the instance list.
func (f *faultInjector) stopAfterGrace(ctx context.Context, n *node) {
	wait.For(ctx, leaveGrace+streamGrace)
	leaving := n.instance
	leaving.State = core.StateLeaving
	f.fleet.updateInstanceList(leaving)
	n.stop()
	f.fleet.platform.list.Remove(n.instance.ID)
}

// kill crashes an engine and its agent.
func (f *runningFleet) kill(victim *node) {
	victim.engine.Crash()
	victim.close()
	f.platform.list.Remove(victim.instance.ID)
}

// replace starts a new instance in place of a killed one, unless an intent has
// stopped that one in the meantime.
func (f *runningFleet) replace(ctx context.Context, killed *node) error {
	if !slices.Contains(f.liveModelNodes(), killed) {
		return nil
	}
	replacement, err := f.startModel(ctx, killed.index, 1)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.modelNodes = append(f.modelNodes, replacement)
	if i := slices.Index(f.modelNodes, killed); i >= 0 {
		f.modelNodes = slices.Delete(f.modelNodes, i, i+1)
		f.retiredNodes = append(f.retiredNodes, killed)
	}
	return nil
}

// retire marks nodes as stopped by an intent, moves them to retiredNodes and
// returns them.
func (f *runningFleet) retire(ids []core.InstanceID) []*node {
	f.mu.Lock()
	defer f.mu.Unlock()
	var stopped []*node
	f.modelNodes = slices.DeleteFunc(slices.Clone(f.modelNodes), func(n *node) bool {
		if !slices.Contains(ids, n.instance.ID) {
			return false
		}
		n.plannedStop = true
		stopped = append(stopped, n)
		return true
	})
	f.retiredNodes = append(f.retiredNodes, stopped...)
	return stopped
}
