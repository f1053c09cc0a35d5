package scenario_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/local/scenario"
	"github.com/snipestep/snipestep/settings"
)

func TestReferencePage(t *testing.T) {
	page := "# Scenarios\n\nGenerated from the key tables by `go test ./local/scenario -update`.\n" +
		settings.SchemaReference("snipestep-local", scenario.Schema(&scenario.Scenario{}))
	golden.Assert(t, page, "../../../docs/scenarios.md")
}

func TestCommittedScenariosLoad(t *testing.T) {
	paths, err := filepath.Glob("../../scenarios/*.ini")
	assert.NilError(t, err)
	assert.Assert(t, len(paths) >= 7)
	for _, path := range paths {
		_, err := scenario.LoadFile(path)
		assert.NilError(t, err)
	}
}

func TestDefaults(t *testing.T) {
	s, err := scenario.Default()
	assert.NilError(t, err)
	assert.Equal(t, s.Fleet, scenario.Fleet{Regions: 3, ModelReplicas: 11, PlainReplicas: 4, Entries: 3, Organisations: 10})
	assert.Equal(t, s.Links.RegionLatency, 3*time.Millisecond)
	assert.Equal(t, s.Weights, scenario.Weights{SizeMB: 16, PushAt: 2 * time.Second, SecondPushAt: settings.UnsetDuration})
	assert.Equal(t, s.Flood.Enabled, false)
	assert.Equal(t, s.Faults.HasStoreOutage(), false)
	assert.Equal(t, s.Load.RPS(core.RankNormal), 20.0)
}

func TestInvalidScenarios(t *testing.T) {
	cases := []struct{ text, want string }{
		{"[flood]\nrank = idle\n", `:2: [flood] rank: "idle" is not one of`},
		{"[links]\nregion_mbps = 20mbps\n", `:2: [links] region_mbps: "20mbps" is not a whole number`},
		{"[load]\nduration = 20\n", ":2: [load] duration: "},
		{"[faults]\nkill_agents = 12\n", ":2: [faults] kill_agents: kill_agents and planned_stops together exceed model_replicas"},
		{"[faults]\nstore_down_for = 2s\n", ":1: [faults] store_down_from: want both"},
		{"[weights]\nsecond_push_at = 1s\n", ":2: [weights] second_push_at: comes before push_at"},
		{"[run]\npolicy = fast\n", ":2: [run] policy: "},
		{"[runs]\n", ":1: [runs] section does not exist"},
	}
	for _, c := range cases {
		path := filepath.Join(t.TempDir(), "s.ini")
		assert.NilError(t, os.WriteFile(path, []byte(c.text), 0o600))
		_, err := scenario.LoadFile(path)
		assert.ErrorContains(t, err, path+c.want)
	}
}
