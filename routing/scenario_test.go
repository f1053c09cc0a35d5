package routing

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/golden"

	"github.com/snipestep/snipestep/core"
)

// TestFloodDuringDrain compares a scenario with a golden file: normal load, a
// background flood, a drain of half the slots during it, an urgent flood on the
// remaining slots, and the return of all slots. Update the file with -update.
func TestFloodDuringDrain(t *testing.T) {
	sources := []source{
		{rank: core.RankUrgent, organisation: "clinic", perSecond: 10},
		{rank: core.RankNormal, organisation: "school", perSecond: 20},
		{rank: core.RankNormal, organisation: "ministry", perSecond: 20},
		{rank: core.RankBackground, organisation: "audit", perSecond: 20, resumable: true},
	}
	s := newSimulation(simulationConfig(), len(sources))
	var out strings.Builder
	phase := func(name string, slots int, change func()) {
		config := simulationConfig()
		config.Slots = slots
		s.queue.SetConfig(config)
		change()
		s.runPhase(t, &out, name, sources)
	}
	phase("normal load", simulationSlots, func() {})
	phase("background flood", simulationSlots, func() { sources[3].perSecond = 500 })
	phase("half the slots drain", simulationSlots/2, func() {})
	phase("urgent flood", simulationSlots/2, func() {
		sources[3].perSecond = 20
		sources[0].perSecond = 400
	})
	phase("all slots return", simulationSlots, func() { sources[0].perSecond = 10 })
	golden.Assert(t, out.String(), "flood-with-drain.golden")
}

const phaseSeconds = 5

// runPhase runs the sources for phaseSeconds and writes the outcomes of their
// calls.
func (s *simulation) runPhase(t *testing.T, out *strings.Builder, name string, sources []source) {
	t.Helper()
	before := append([]sourceStats(nil), s.stats...)
	end := s.now.Add(phaseSeconds * 1e9)
	for s.now.Before(end) {
		s.step(t, sources)
	}
	fmt.Fprintf(out, "%s\n", name)
	for i, src := range sources {
		current, earlier := s.stats[i], before[i]
		fmt.Fprintf(out, "  %-10s %-8s offered %4d answered %4d shed %4d\n",
			src.rank, src.organisation, current.offered-earlier.offered, current.answered-earlier.answered, current.shed-earlier.shed)
	}
}
