package runner

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/internal/fakes"
	"github.com/snipestep/snipestep/local/load"
	"github.com/snipestep/snipestep/local/report"
	"github.com/snipestep/snipestep/local/syntheticweights"
	"github.com/snipestep/snipestep/local/wait"
	"github.com/snipestep/snipestep/settings"
)

const (
	bytesPerMegabyte  = 1_000_000
	firstVersionBytes = 64 << 10
)

// A push that takes longer than pushTimeoutFactor times its ideal time plus
// pushTimeoutSlack counts as not done.
const (
	pushTimeoutFactor = 20
	pushTimeoutSlack  = 20 * time.Second
)

// Run runs a scenario and blocks until it has ended. It returns ErrNotReady or the
// error of a component that did not start.
func Run(ctx context.Context, options Options) (*report.Report, error) {
	usage := newUsageMeter(options.Usage)
	f, err := startFleet(ctx, options)
	if err != nil {
		return nil, err
	}
	defer f.close()
	r := &scenarioRun{
		fleet:   f,
		actions: newOperatorActions(f, options.Progress),
		report:  &report.Report{},
		usage:   usage,
	}
	r.faults = newFaultInjector(f, r.actions)
	if err := r.prepare(ctx); err != nil {
		return nil, err
	}
	r.execute(ctx)
	return r.report, nil
}

// scenarioRun is the execution of one scenario.
type scenarioRun struct {
	fleet    *runningFleet
	actions  *operatorActions
	faults   *faultInjector
	versions []fakes.Weights
	report   *report.Report
	usage    *usageMeter

	mu         sync.Mutex
	latestPush *pushWatch
}

// prepare waits for the fleet and pushes a small first version.
func (r *scenarioRun) prepare(ctx context.Context) error {
	s := r.fleet.scenario
	agents := s.Fleet.ModelReplicas + s.Fleet.PlainReplicas
	r.actions.printProgress("waiting for %d agents and %d entries", agents, s.Fleet.Entries)
	if err := r.actions.awaitAgents(ctx, agents); err != nil {
		return err
	}
	if err := r.publishVersions(); err != nil {
		return err
	}
	first := syntheticweights.Generate(s.Run.Seed, "v0", firstVersionBytes)
	r.fleet.platform.publish(first)
	if err := r.actions.pushModel(ctx, first.Ref); err != nil {
		return err
	}
	err := waitUntil(ctx, startTimeout, func() bool { return r.allServing(first.Ref) })
	if err != nil {
		return err
	}
	r.actions.printProgress("every engine serves the first version")
	return nil
}

func (r *scenarioRun) allServing(model core.ModelRef) bool {
	for _, n := range r.fleet.liveModelNodes() {
		if n.engine.Serving() != model {
			return false
		}
	}
	return true
}

// publishVersions reads or generates the weights that the scenario pushes, and
// publishes them.
func (r *scenarioRun) publishVersions() error {
	s := r.fleet.scenario
	for i := range r.pushTimes() {
		version := fmt.Sprintf("v%d", i+1)
		published, err := r.readOrGenerate(version)
		if err != nil {
			return err
		}
		r.versions = append(r.versions, published)
		r.fleet.platform.publish(published)
	}
	r.actions.printProgress("%d versions published, seed %d, policy %s", len(r.versions), s.Run.Seed, s.Run.Policy)
	return nil
}

func (r *scenarioRun) readOrGenerate(version string) (fakes.Weights, error) {
	s := r.fleet.scenario
	if s.Weights.Dir != "" {
		return syntheticweights.ReadDir(s.Weights.Dir, version)
	}
	return syntheticweights.Generate(s.Run.Seed, version, int64(s.Weights.SizeMB)*bytesPerMegabyte), nil
}

func (r *scenarioRun) pushTimes() []time.Duration {
	var times []time.Duration
	for _, at := range []time.Duration{r.fleet.scenario.Weights.PushAt, r.fleet.scenario.Weights.SecondPushAt} {
		if at != settings.UnsetDuration {
			times = append(times, at)
		}
	}
	return times
}

// execute runs the load, the pushes and the faults, and fills the report.
func (r *scenarioRun) execute(ctx context.Context) {
	r.faults.setPermanentFaults()
	generator := load.New(load.Config{Scenario: r.fleet.scenario, Entries: r.fleet.entryAddrs, Oracle: r.fleet.oracle()})
	control, config := newControlMeter(r.fleet), newConfigWatch(r.fleet)
	watchCtx, stopWatches := context.WithCancel(ctx)
	var watches, events sync.WaitGroup
	watches.Go(func() { config.run(watchCtx) })
	for _, event := range r.events() {
		events.Go(func() {
			if wait.For(ctx, event.startAt) {
				event.run(ctx)
			}
		})
	}
	r.actions.printProgress("load starts")
	r.usage.start()
	generator.Run(ctx)
	r.usage.stop()
	r.actions.printProgress("load ends")
	for _, refusal := range generator.Refusals() {
		r.actions.printProgress("refused %d sends: %s", refusal.Sends, refusal)
	}
	control.fill(&r.report.Control)
	events.Wait()
	stopWatches()
	watches.Wait()
	r.fill(generator, config)
}

// events returns the pushes and faults, unordered.
func (r *scenarioRun) events() []timedEvent {
	all := r.faults.events()
	for i, at := range r.pushTimes() {
		all = append(all, timedEvent{at, func(ctx context.Context) { r.pushVersion(ctx, r.versions[i]) }})
	}
	return all
}

// pushVersion pushes a version and blocks until every engine serves it, the time-out
// passes or a later push supersedes it.
func (r *scenarioRun) pushVersion(ctx context.Context, w fakes.Weights) {
	sizeBytes, err := syntheticweights.Size(w)
	if err != nil {
		r.actions.printProgress("push failed: %v", err)
		return
	}
	if err := r.actions.pushModel(ctx, w.Ref); err != nil {
		r.actions.printProgress("push failed: %v", err)
		r.mu.Lock()
		r.report.Weights.Replicas = len(r.fleet.liveModelNodes())
		r.mu.Unlock()
		return
	}
	r.faults.stallLinks()
	watch := newPushWatch(r.fleet, w, sizeBytes)
	r.mu.Lock()
	r.latestPush = watch
	r.mu.Unlock()
	r.actions.printProgress("push of %s confirmed", w.Ref.Version)
	ctx, cancel := context.WithTimeout(ctx, pushTimeoutFactor*watch.idealTime()+pushTimeoutSlack)
	defer cancel()
	go r.cancelWhenSuperseded(ctx, cancel, watch)
	watch.run(ctx)
	serving, total := watch.countServing()
	r.actions.printProgress("%s is served by %d of %d engines", w.Ref.Version, serving, total)
}

// cancelWhenSuperseded cancels the watch of a push when a later push supersedes it.
func (r *scenarioRun) cancelWhenSuperseded(ctx context.Context, cancel context.CancelFunc, watch *pushWatch) {
	for wait.For(ctx, pollInterval) {
		r.mu.Lock()
		superseded := r.latestPush != watch
		r.mu.Unlock()
		if superseded {
			cancel()
		}
	}
}

func (r *scenarioRun) fill(generator *load.Generator, config *configWatch) {
	generator.Fill(r.report)
	if r.latestPush != nil {
		r.latestPush.fill(&r.report.Weights)
	}
	r.fleet.printCutStreams(r.actions)
	r.fleet.fillSafety(&r.report.Safety)
	config.fill(&r.report.Safety)
}
