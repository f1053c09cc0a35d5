package runner

import (
	"context"
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/local/report"
	"github.com/snipestep/snipestep/local/wait"
)

const generationInterval = 20 * time.Millisecond

// configWatch samples the generation in force at every program.
type configWatch struct {
	fleet   *fleetRun
	held    map[core.InstanceID]core.Generation
	spreads []spread
	newest  core.Generation
	reverts int
	longest time.Duration
}

// spread is a generation that is not yet in force everywhere.
type spread struct {
	generation core.Generation
	since      time.Time
	missing    map[core.InstanceID]*program
}

func newConfigWatch(f *fleetRun) *configWatch {
	return &configWatch{fleet: f, held: map[core.InstanceID]core.Generation{}}
}

// run samples until ctx ends.
func (c *configWatch) run(ctx context.Context) {
	for wait.For(ctx, generationInterval) {
		c.sample(time.Now())
	}
	c.finish(time.Now())
}

func (c *configWatch) sample(now time.Time) {
	programs := c.fleet.programs()
	for _, p := range programs {
		c.see(p.instance.ID, p.role.Generation())
	}
	for _, p := range programs {
		if generation := p.role.Generation(); generation > c.newest {
			c.newest = generation
			c.spreads = append(c.spreads, newSpread(generation, now, programs))
		}
	}
	c.settle(now)
}

func (c *configWatch) see(id core.InstanceID, generation core.Generation) {
	if generation < c.held[id] {
		c.reverts++
	}
	c.held[id] = generation
}

// newSpread waits for the programs that have had a configuration already.
func newSpread(generation core.Generation, now time.Time, programs []*program) spread {
	s := spread{generation: generation, since: now, missing: map[core.InstanceID]*program{}}
	for _, p := range programs {
		if p.role.Generation() > 0 {
			s.missing[p.instance.ID] = p
		}
	}
	return s
}

// settle drops the programs that have the generation or died, and the
// spreads that are complete.
func (c *configWatch) settle(now time.Time) {
	open := c.spreads[:0]
	for _, s := range c.spreads {
		for id, p := range s.missing {
			if p.role.Generation() >= s.generation || !p.alive() {
				delete(s.missing, id)
			}
		}
		if len(s.missing) > 0 {
			open = append(open, s)
			continue
		}
		c.longest = max(c.longest, now.Sub(s.since))
	}
	c.spreads = open
}

// finish counts the spreads that are still open as long as they lasted.
func (c *configWatch) finish(now time.Time) {
	for _, s := range c.spreads {
		c.longest = max(c.longest, now.Sub(s.since))
	}
}

func (c *configWatch) fill(into *report.Safety) {
	into.ConfigReverts = c.reverts
	into.ConfigSpreadMaxS = c.longest.Seconds()
}
