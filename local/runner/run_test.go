package runner_test

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/local/report"
	"github.com/snipestep/snipestep/local/runner"
	"github.com/snipestep/snipestep/local/scenario"
)

const runTimeout = 90 * time.Second

// shortScenario returns a small scenario with a push.
func shortScenario(t *testing.T) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Default()
	assert.NilError(t, err)
	s.Fleet = scenario.Fleet{Regions: 2, ModelReplicas: 4, PlainReplicas: 2, Entries: 2, Organisations: 4}
	s.Weights.SizeMB = 1
	s.Weights.PushAt = 100 * time.Millisecond
	s.Load.Duration = time.Second
	s.Engines.OutputTokens = 5
	return s
}

func execute(t *testing.T, s *scenario.Scenario) *report.Report {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), runTimeout)
	defer cancel()
	result, err := runner.Run(ctx, runner.Options{Scenario: s, Progress: io.Discard, Logger: slog.New(slog.DiscardHandler)})
	assert.NilError(t, err)
	return result
}

// safetyCounts returns the safety part without ConfigSpreadMaxS, which is a time.
func safetyCounts(r *report.Report) report.Safety {
	safety := r.Safety
	safety.ConfigSpreadMaxS = 0
	return safety
}

func TestRunOfEachPolicy(t *testing.T) {
	for _, policy := range []string{core.PolicySnipestep, core.PolicyBaseline} {
		t.Run(policy, func(t *testing.T) {
			s := shortScenario(t)
			s.Run.Policy = policy
			result := execute(t, s)
			assert.Equal(t, result.Weights.Replicas, 4)
			assert.Equal(t, result.Weights.ReplicasDone, 4)
			assert.Equal(t, safetyCounts(result), report.Safety{})
			assert.Assert(t, result.Ranks.Urgent.Answered > 0)
			assert.Assert(t, result.Weights.OriginCopies >= 1)
		})
	}
}

func TestRunWithFaults(t *testing.T) {
	s := shortScenario(t)
	s.Faults.KillAgents = 1
	s.Faults.KillAt = 200 * time.Millisecond
	s.Faults.PlannedStops = 1
	s.Faults.CorruptChunkRatio = 0.2
	s.Faults.ResendRatio = 0.5
	s.Faults.LoseCASAnswerRatio = 0.1
	result := execute(t, s)
	assert.Equal(t, result.Weights.ReplicasDone, result.Weights.Replicas)
	assert.Equal(t, safetyCounts(result), report.Safety{})
}
