package weights

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/core"
)

// firstDrawers returns how many of 192 chunks each instance draws from the
// origin.
func firstDrawers(l *Layout) map[core.InstanceID]int {
	drawn := make(map[core.InstanceID]int)
	for chunk := range 192 {
		drawn[l.Fetchers(l.Chain(chunk)[0], chunk)[0]]++
	}
	return drawn
}

// A push to many instances of several regions: the origin's link is short, so
// that only a few instances may draw on it at a time.
func TestFewInstancesDrawOnTheOrigin(t *testing.T) {
	targets := testTargets(20)
	assert.Equal(t, len(firstDrawers(NewLayout(testManifest, "", 6, targets))), 6)
	assert.Equal(t, len(firstDrawers(NewLayout(testManifest, "", 1, targets))), 3, "one for each region")
	assert.Equal(t, len(firstDrawers(NewLayout(testManifest, "r0", 6, targets))), 6, "all in the origin's region")
	assert.Equal(t, len(firstDrawers(NewLayout(testManifest, "", 0, targets))), 3*MaxFetchers, "no bound")
}

// The others take over in their order if those fail, and cross region links as
// before.
func TestAllFetchersStayInEveryOrder(t *testing.T) {
	layout := NewLayout(testManifest, "", 6, testTargets(20))
	for chunk := range 12 {
		for _, region := range layout.Chain(chunk) {
			seen := make(map[core.InstanceID]bool)
			for _, id := range layout.Fetchers(region, chunk) {
				seen[id] = true
			}
			assert.Equal(t, len(seen), MaxFetchers)
		}
	}
}
