package weights

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/core"
)

// originFetchCounts returns how many of 192 chunks each instance fetches from
// the origin as their primary fetcher.
func originFetchCounts(plan *FetchPlan) map[core.InstanceID]int {
	fetched := make(map[core.InstanceID]int)
	for chunk := range 192 {
		fetched[plan.Fetchers(plan.Chain(chunk)[0], chunk)[0]]++
	}
	return fetched
}

// When a version is distributed to many instances in several regions, only a few
// of them fetch from the origin, because the origin's link has little capacity.
func TestFewInstancesFetchFromTheOrigin(t *testing.T) {
	targets := testTargets(20)
	assert.Equal(t, len(originFetchCounts(NewFetchPlan(testManifest, "", 6, targets))), 6)
	assert.Equal(t, len(originFetchCounts(NewFetchPlan(testManifest, "", 1, targets))), 3, "one for each region")
	assert.Equal(t, len(originFetchCounts(NewFetchPlan(testManifest, "r0", 6, targets))), 6, "all in the origin's region")
	assert.Equal(t, len(originFetchCounts(NewFetchPlan(testManifest, "", 0, targets))), 3*MaxFetchers, "no bound")
}

// Every order holds all fetchers: those that do not fetch from the origin take
// over when the origin fetchers fail, and transfer chunks between regions.
func TestFetcherOrderHoldsAllFetchers(t *testing.T) {
	plan := NewFetchPlan(testManifest, "", 6, testTargets(20))
	for chunk := range 12 {
		for _, region := range plan.Chain(chunk) {
			seen := make(map[core.InstanceID]bool)
			for _, id := range plan.Fetchers(region, chunk) {
				seen[id] = true
			}
			assert.Equal(t, len(seen), MaxFetchers)
		}
	}
}
