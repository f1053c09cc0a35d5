package fleet_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
)

const testDomains = 7

func newInstances(prefix string, count int) []core.Instance {
	out := make([]core.Instance, count)
	for i := range out {
		domain := i % testDomains
		out[i] = core.Instance{
			ID: core.InstanceID(fmt.Sprintf("%s-%04d", prefix, i)),
			Location: core.Location{
				Region:        fmt.Sprintf("r%d", domain%2),
				FailureDomain: fmt.Sprintf("f%d", domain),
			},
		}
	}
	return out
}

func loadRange(subsets map[core.InstanceID][]core.Instance, peers []core.Instance) (least, most int) {
	loadByPeer := make(map[core.InstanceID]int)
	for _, chosen := range subsets {
		for _, peer := range chosen {
			loadByPeer[peer.ID]++
		}
	}
	least = len(subsets)
	for _, peer := range peers {
		least = min(least, loadByPeer[peer.ID])
		most = max(most, loadByPeer[peer.ID])
	}
	return least, most
}

func TestSubsetsBalanceLoadAcrossDomains(t *testing.T) {
	const size = 8
	for _, scale := range []int{1, 2, 4} {
		entries, agents := newInstances("entry", 105*scale), newInstances("agent", 150*scale)
		subsets := fleet.Subsets(agents, entries, size)
		for _, chosen := range subsets {
			assert.Equal(t, len(chosen), size)
			domains := make(map[string]int)
			for _, c := range chosen {
				domains[c.Location.FailureDomain]++
			}
			assert.Equal(t, len(domains), testDomains)
		}
		least, most := loadRange(subsets, entries)
		t.Logf("entries %d, agents %d: %d to %d agents per entry", len(entries), len(agents), least, most)
		assert.Assert(t, least >= 4 && most <= 15, "agents per entry: %d to %d", least, most)
		assert.DeepEqual(t, fleet.Subset(agents[3], agents, entries, size), subsets[agents[3].ID])
	}
}

func TestSubsetChangesLittleOnReplacement(t *testing.T) {
	const size = 8
	entries, agents := newInstances("entry", 420), newInstances("agent", 600)
	before := fleet.Subsets(agents, entries, size)
	replacedEntries := append([]core.Instance(nil), entries...)
	replacedEntries[17].ID = "entry-new"
	replacedAgents := append([]core.Instance(nil), agents...)
	replacedAgents[17].ID = "agent-new"
	pairs := len(agents) * size
	for name, after := range map[string]map[core.InstanceID][]core.Instance{
		"entry": fleet.Subsets(agents, replacedEntries, size),
		"agent": fleet.Subsets(replacedAgents, entries, size),
	} {
		changed := changedPairs(before, after)
		t.Logf("one %s replaced: %d of %d pairs changed", name, changed, pairs)
		assert.Assert(t, changed <= pairs*2/100, "%s: %d of %d pairs", name, changed, pairs)
	}
}

func changedPairs(before, after map[core.InstanceID][]core.Instance) int {
	changed := 0
	for id, chosen := range after {
		old := make(map[core.InstanceID]bool)
		for _, c := range before[id] {
			old[c.ID] = true
		}
		for _, c := range chosen {
			if !old[c.ID] {
				changed++
			}
		}
	}
	return changed
}

func TestSmallFleetIsFullMesh(t *testing.T) {
	entries, agents := newInstances("entry", 3), newInstances("agent", 15)
	assert.DeepEqual(t, fleet.Subset(agents[0], agents, entries, 3), entries)
}

func BenchmarkSubset(b *testing.B) {
	entries, agents := newInstances("entry", 420), newInstances("agent", 600)
	for b.Loop() {
		fleet.Subset(agents[0], agents, entries, 8)
	}
}
