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
	replaceDelay = time.Second
	// leaveGrace is how long a leaving endpoint may still get new work.
	leaveGrace  = 3 * time.Second
	streamGrace = 2 * time.Second
	// stopPart is the part of the load after which planned stops come.
	stopPart = 2
)

// faults makes happen what the scenario says.
type faults struct {
	fleet   *fleetRun
	actions *actions

	mu     sync.Mutex // Guards random.
	random *rand.Rand
}

func newFaults(f *fleetRun, a *actions) *faults {
	return &faults{
		fleet:   f,
		actions: a,
		random:  rand.New(rand.NewPCG(uint64(f.scenario.Run.Seed), faultRandom)),
	}
}

// faultRandom is the number of the random stream that picks victims.
const faultRandom = 1 << 20

// event is something that happens at a time since the start of the load.
type event struct {
	at  time.Duration
	run func(ctx context.Context)
}

// events lists the faults of the scenario.
func (f *faults) events() []event {
	s := f.fleet.scenario
	var all []event
	if s.Faults.KillAgents > 0 {
		all = append(all, event{s.Faults.KillAt, f.killAgents})
	}
	if s.Faults.HasStoreOutage() {
		all = append(all,
			event{s.Faults.StoreDownFrom, func(context.Context) { f.setStoreDown(true) }},
			event{s.Faults.StoreDownFrom + s.Faults.StoreDownFor, func(context.Context) { f.setStoreDown(false) }})
	}
	if s.Faults.PlannedStops > 0 {
		all = append(all, event{s.Load.Duration / stopPart, f.stopEngines})
	}
	return all
}

// prepare sets the faults that hold for the whole run.
func (f *faults) prepare() {
	s := f.fleet.scenario
	seed := uint64(s.Run.Seed)
	f.fleet.platform.origin.SetCorruptRatio(s.Faults.CorruptChunkRatio, seed)
	f.fleet.platform.keyValue.SetLoseAnswerRatio(s.Faults.LoseCASAnswerRatio, seed)
}

func (f *faults) setStoreDown(down bool) {
	f.actions.say("key-value service down: %t", down)
	f.fleet.platform.keyValue.SetDown(down)
}

// killAgents kills some engines with their agents; the platform replaces each
// by a new instance.
func (f *faults) killAgents(ctx context.Context) {
	victims := f.pick(f.fleet.scenario.Faults.KillAgents)
	var deaths sync.WaitGroup
	for _, victim := range victims {
		f.actions.say("%s dies", victim.instance.ID)
		deaths.Go(func() { f.fleet.kill(victim) })
	}
	deaths.Wait()
	if !wait.For(ctx, replaceDelay) {
		return
	}
	for _, victim := range victims {
		if err := f.fleet.replace(ctx, victim); err != nil {
			f.actions.say("no replacement: %v", err)
		}
	}
}

// pick returns some engines in service.
func (f *faults) pick(count int) []*node {
	models := f.fleet.liveModels()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.random.Shuffle(len(models), func(i, j int) { models[i], models[j] = models[j], models[i] })
	return models[:min(count, len(models))]
}

// stallLinks stalls the way from half of the engines to some others.
func (f *faults) stallLinks() {
	models := f.fleet.liveModels()
	for _, victim := range f.pick(f.fleet.scenario.Faults.StallLinks) {
		for number, from := range models {
			if number%2 == 0 && from != victim {
				f.fleet.platform.links.Stall(from.instance.ID, victim.instance.ID)
			}
		}
	}
}

// stopEngines stops some engines by an intent. Each ends once it runs
// nothing.
func (f *faults) stopEngines(ctx context.Context) {
	ids, err := f.actions.stop(ctx, f.fleet.scenario.Faults.PlannedStops, streamGrace)
	if err != nil {
		f.actions.say("no planned stop: %v", err)
		return
	}
	f.actions.say("planned stop of %v", ids)
	deadline := time.Now().Add(leaveGrace)
	for _, n := range f.fleet.retire(ids) {
		n.abandoned = n.engine.Counts().Abandoned
		n.engine.MarkLeaving(deadline)
		go f.end(ctx, n)
	}
}

// end stops a program that an intent took out of service, and takes it off
// the list.
func (f *faults) end(ctx context.Context, n *node) {
	wait.For(ctx, leaveGrace+streamGrace)
	leaving := n.instance
	leaving.State = core.StateLeaving
	f.fleet.join(leaving)
	n.stop()
	f.fleet.platform.list.Remove(n.instance.ID)
}

// kill ends an engine and its agent at once.
func (f *fleetRun) kill(victim *node) {
	victim.engine.Crash()
	victim.close()
	f.platform.list.Remove(victim.instance.ID)
}

// replace starts a new instance in the place of a dead one, unless an intent
// stopped that one meanwhile.
func (f *fleetRun) replace(ctx context.Context, dead *node) error {
	if !slices.Contains(f.liveModels(), dead) {
		return nil
	}
	made, err := f.startModel(ctx, dead.number, 1)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.models = append(f.models, made)
	if at := slices.Index(f.models, dead); at >= 0 {
		f.models = slices.Delete(f.models, at, at+1)
		f.retired = append(f.retired, dead)
	}
	return nil
}

// retire takes stopped nodes out of service.
func (f *fleetRun) retire(ids []core.InstanceID) []*node {
	f.mu.Lock()
	defer f.mu.Unlock()
	var stopped []*node
	f.models = slices.DeleteFunc(slices.Clone(f.models), func(n *node) bool {
		if !slices.Contains(ids, n.instance.ID) {
			return false
		}
		n.stopped = true
		stopped = append(stopped, n)
		return true
	})
	f.retired = append(f.retired, stopped...)
	return stopped
}
