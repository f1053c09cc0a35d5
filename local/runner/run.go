package runner

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/internal/fakes"
	"github.com/snipestep/snipestep/local/load"
	"github.com/snipestep/snipestep/local/madeweights"
	"github.com/snipestep/snipestep/local/report"
	"github.com/snipestep/snipestep/local/wait"
	"github.com/snipestep/snipestep/settings"
)

const (
	bytesPerMB       = 1_000_000
	firstWeightBytes = 64 << 10
)

// A push that has not ended after this many times its ideal time, and the
// slack, counts as not done.
const (
	pushFactor = 20
	pushSlack  = 20 * time.Second
)

// Run runs a scenario and blocks until it has ended. It returns ErrNotReady,
// or the error of a part that did not start.
func Run(ctx context.Context, options Options) (*report.Report, error) {
	usage := newUsageMeter(options.Usage)
	f, err := startFleet(ctx, options)
	if err != nil {
		return nil, err
	}
	defer f.close()
	r := &run{
		fleet:   f,
		actions: newActions(f, options.Progress),
		report:  &report.Report{},
		usage:   usage,
	}
	r.faults = newFaults(f, r.actions)
	if err := r.prepare(ctx); err != nil {
		return nil, err
	}
	r.execute(ctx)
	return r.report, nil
}

// run is the execution of one scenario.
type run struct {
	fleet    *fleetRun
	actions  *actions
	faults   *faults
	versions []fakes.Weights
	report   *report.Report
	usage    *usageMeter

	mu   sync.Mutex
	push *pushWatch // The latest one.
}

// prepare brings the fleet up with a small first version.
func (r *run) prepare(ctx context.Context) error {
	s := r.fleet.scenario
	agents := s.Fleet.ModelReplicas + s.Fleet.PlainReplicas
	r.actions.say("%d agents and %d entries start", agents, s.Fleet.Entries)
	if err := r.actions.awaitAgents(ctx, agents); err != nil {
		return err
	}
	if err := r.makeVersions(); err != nil {
		return err
	}
	first := madeweights.Make(s.Run.Seed, "v0", firstWeightBytes)
	r.fleet.platform.publish(first)
	if err := r.actions.push(ctx, first.Ref); err != nil {
		return err
	}
	err := until(ctx, startTimeout, func() bool { return r.allServe(first.Ref) })
	if err != nil {
		return err
	}
	r.actions.say("every engine serves the first version")
	return nil
}

func (r *run) allServe(model core.ModelRef) bool {
	for _, n := range r.fleet.liveModels() {
		if n.engine.Serving() != model {
			return false
		}
	}
	return true
}

// makeVersions makes the weights that the scenario pushes.
func (r *run) makeVersions() error {
	s := r.fleet.scenario
	for i := range r.pushTimes() {
		version := fmt.Sprintf("v%d", i+1)
		made, err := r.makeVersion(version)
		if err != nil {
			return err
		}
		r.versions = append(r.versions, made)
		r.fleet.platform.publish(made)
	}
	r.actions.say("%d versions published, seed %d, policy %s", len(r.versions), s.Run.Seed, s.Run.Policy)
	return nil
}

func (r *run) makeVersion(version string) (fakes.Weights, error) {
	s := r.fleet.scenario
	if s.Weights.Dir != "" {
		return madeweights.Read(s.Weights.Dir, version)
	}
	return madeweights.Make(s.Run.Seed, version, int64(s.Weights.SizeMB)*bytesPerMB), nil
}

func (r *run) pushTimes() []time.Duration {
	var times []time.Duration
	for _, at := range []time.Duration{r.fleet.scenario.Weights.PushAt, r.fleet.scenario.Weights.SecondPushAt} {
		if at != settings.UnsetDuration {
			times = append(times, at)
		}
	}
	return times
}

// execute drives load, pushes and faults, and fills the report.
func (r *run) execute(ctx context.Context) {
	r.faults.prepare()
	generator := load.New(load.Config{Scenario: r.fleet.scenario, Entries: r.fleet.httpAddrs, Oracle: r.fleet.oracle()})
	control, config := newControlWatch(r.fleet), newConfigWatch(r.fleet)
	watching, endWatch := context.WithCancel(ctx)
	var watches, events sync.WaitGroup
	watches.Go(func() { config.run(watching) })
	for _, e := range r.events() {
		events.Go(func() {
			if wait.For(ctx, e.at) {
				e.run(ctx)
			}
		})
	}
	r.actions.say("load starts")
	r.usage.start()
	generator.Run(ctx)
	r.usage.end()
	r.actions.say("load ends")
	for _, refusal := range generator.Refusals() {
		r.actions.say("refused %d sends: %s", refusal.Sends, refusal)
	}
	control.fill(&r.report.Control)
	events.Wait()
	endWatch()
	watches.Wait()
	r.fill(generator, config)
}

// events lists the pushes and faults in no order.
func (r *run) events() []event {
	all := r.faults.events()
	for i, at := range r.pushTimes() {
		all = append(all, event{at, func(ctx context.Context) { r.pushVersion(ctx, r.versions[i]) }})
	}
	return all
}

// pushVersion pushes a version and follows it to its end.
func (r *run) pushVersion(ctx context.Context, w fakes.Weights) {
	size, err := madeweights.Size(w)
	if err != nil {
		r.actions.say("no push: %v", err)
		return
	}
	if err := r.actions.push(ctx, w.Ref); err != nil {
		r.actions.say("no push: %v", err)
		r.mu.Lock()
		r.report.Weights.Replicas = len(r.fleet.liveModels())
		r.mu.Unlock()
		return
	}
	r.faults.stallLinks()
	watch := watchPush(r.fleet, w, size)
	r.mu.Lock()
	r.push = watch
	r.mu.Unlock()
	r.actions.say("push of %s confirmed", w.Ref.Version)
	ctx, cancel := context.WithTimeout(ctx, pushFactor*watch.ideal()+pushSlack)
	defer cancel()
	go r.cancelWhenReplaced(ctx, cancel, watch)
	watch.run(ctx)
	done, total := watch.done()
	r.actions.say("%s is served by %d of %d", w.Ref.Version, done, total)
}

// cancelWhenReplaced ends the watch of a push that a later one replaced.
func (r *run) cancelWhenReplaced(ctx context.Context, cancel context.CancelFunc, watch *pushWatch) {
	for wait.For(ctx, pollInterval) {
		r.mu.Lock()
		replaced := r.push != watch
		r.mu.Unlock()
		if replaced {
			cancel()
		}
	}
}

func (r *run) fill(generator *load.Generator, config *configWatch) {
	generator.Fill(r.report)
	if r.push != nil {
		r.push.fill(&r.report.Weights)
	}
	r.fleet.sayCuts(r.actions)
	r.fleet.fillSafety(&r.report.Safety)
	config.fill(&r.report.Safety)
}
