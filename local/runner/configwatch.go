package runner

import (
	"context"
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/local/report"
	"github.com/snipestep/snipestep/local/wait"
)

const generationPollInterval = 20 * time.Millisecond

// configWatch samples the configuration generation of every program, and records
// reverts and how long new generations take to reach all programs.
type configWatch struct {
	fleet          *runningFleet
	lastSeen       map[core.InstanceID]core.Generation
	propagating    []propagation
	newest         core.Generation
	reverts        int
	maxPropagation time.Duration
}

// propagation tracks a generation that has not yet reached every program.
type propagation struct {
	generation  core.Generation
	firstSeenAt time.Time
	missing     map[core.InstanceID]*program
}

func newConfigWatch(f *runningFleet) *configWatch {
	return &configWatch{fleet: f, lastSeen: map[core.InstanceID]core.Generation{}}
}

// run samples until ctx ends.
func (c *configWatch) run(ctx context.Context) {
	for wait.For(ctx, generationPollInterval) {
		c.sample(time.Now())
	}
	c.measureIncomplete(time.Now())
}

func (c *configWatch) sample(now time.Time) {
	programs := c.fleet.programs()
	for _, p := range programs {
		c.recordGeneration(p.instance.ID, p.component.Generation())
	}
	for _, p := range programs {
		if generation := p.component.Generation(); generation > c.newest {
			c.newest = generation
			c.propagating = append(c.propagating, newPropagation(generation, now, programs))
		}
	}
	c.removeCompleted(now)
}

func (c *configWatch) recordGeneration(id core.InstanceID, generation core.Generation) {
	if generation < c.lastSeen[id] {
		c.reverts++
	}
	c.lastSeen[id] = generation
}

// newPropagation tracks the programs that already have a configuration.
func newPropagation(generation core.Generation, now time.Time, programs []*program) propagation {
	p := propagation{generation: generation, firstSeenAt: now, missing: map[core.InstanceID]*program{}}
	for _, runningProgram := range programs {
		if runningProgram.component.Generation() > 0 {
			p.missing[runningProgram.instance.ID] = runningProgram
		}
	}
	return p
}

// removeCompleted drops the programs that have the generation or have ended, and
// the propagations without a missing program.
func (c *configWatch) removeCompleted(now time.Time) {
	incomplete := c.propagating[:0]
	for _, pending := range c.propagating {
		for id, p := range pending.missing {
			if p.component.Generation() >= pending.generation || !p.alive() {
				delete(pending.missing, id)
			}
		}
		if len(pending.missing) > 0 {
			incomplete = append(incomplete, pending)
			continue
		}
		c.maxPropagation = max(c.maxPropagation, now.Sub(pending.firstSeenAt))
	}
	c.propagating = incomplete
}

// measureIncomplete includes the propagations that are still incomplete with their
// time so far.
func (c *configWatch) measureIncomplete(now time.Time) {
	for _, pending := range c.propagating {
		c.maxPropagation = max(c.maxPropagation, now.Sub(pending.firstSeenAt))
	}
}

func (c *configWatch) fill(into *report.Safety) {
	into.ConfigReverts = c.reverts
	into.ConfigSpreadMaxS = c.maxPropagation.Seconds()
}
