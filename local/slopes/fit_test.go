package slopes

import (
	"math"
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

func samplePoints() []Point {
	var points []Point
	for _, agents := range []int{16, 32, 64, 128} {
		points = append(points, Point{Agents: agents, StoreCallsPerS: 3 + 0.25*float64(agents)})
	}
	return points
}

func TestFitOfLinearCost(t *testing.T) {
	storeCalls := costs[2]
	line := fit(storeCalls, "agent", samplePoints(), agentsOf)
	assert.Assert(t, math.Abs(line.Slope-0.25) < 1e-9)
	assert.Assert(t, math.Abs(line.Intercept-3) < 1e-9)
	assert.Equal(t, fit(storeCalls, "agent", samplePoints()[:1], agentsOf).Slope, 0.0)
}

func TestPlotOfEachCost(t *testing.T) {
	dir := t.TempDir()
	r := &Result{ByAgents: samplePoints()}
	assert.NilError(t, r.WritePlots(dir))
	files, err := os.ReadDir(dir)
	assert.NilError(t, err)
	assert.Equal(t, len(files), len(costs))
}
