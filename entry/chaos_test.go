package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/intent"
	"github.com/snipestep/snipestep/internal/fakes"
	"github.com/snipestep/snipestep/problem"
)

const (
	callTokens    = 12
	modelReplicas = 4
)

// modelFleet is a fleet of models with injected failures. Its oracle is the text
// that engines generate for a prompt and a version, and the number of attempts
// that they have begun.
type modelFleet struct {
	*testFleet
	liveEngines       []int // Indexes of the engines that were not replaced.
	replacedAgents    int
	promptCount       int
	lastVersion       int
	highestGeneration [2]core.Generation // By entry.
	outcomes          map[string]int
}

// callConcurrently runs some calls concurrently and checks their responses.
func (m *modelFleet) callConcurrently(t *rapid.T) {
	var callers sync.WaitGroup
	outcomes := make([]string, rapid.IntRange(1, 8).Draw(t, "calls"))
	for i := range outcomes {
		m.promptCount++
		prompt := fmt.Sprint("prompt-", m.promptCount)
		entry := rapid.IntRange(0, 1).Draw(t, "entry")
		kind := rapid.SampledFrom([]string{"urgent", "", "background"}).Draw(t, "kind")
		callers.Go(func() { outcomes[i] = m.call(t, entry, kind, prompt) })
	}
	callers.Wait()
	for _, outcome := range outcomes {
		m.outcomes[outcome]++
	}
}

func (m *modelFleet) call(t *rapid.T, entry int, kind, prompt string) string {
	body := fmt.Sprintf(`{"model":"letters","max_tokens":%d,"prompt":%q}`, callTokens, prompt)
	status, header, response := m.post(entry, "/v1/completions", body, kindHeader, kind)
	if status != http.StatusOK {
		var refused problem.Problem
		assert.Check(t, json.Unmarshal([]byte(response), &refused))
		if refused.Execution == problem.ExecutionNotStarted {
			assert.Check(t, m.begunAttempts(prompt) == 0, "%s has begun: %s", prompt, response)
		}
		return fmt.Sprint(refused.Code, " ", refused.Execution)
	}
	var chunk chatChunk
	assert.Check(t, json.Unmarshal([]byte(response), &chunk))
	version := header.Get(versionHeader)
	assert.Check(t, chunk.Choices[0].Message.Content == expectedText(prompt, version, callTokens), "%s: %s", prompt, response)
	return "answered"
}

func (m *modelFleet) drawEngine(t *rapid.T) int {
	return rapid.SampledFrom(m.liveEngines).Draw(t, "endpoint")
}

func (m *modelFleet) crash(t *rapid.T) {
	m.engines[m.drawEngine(t)].Crash()
}

// replace kills an agent and adds one with a new ID and a new engine.
func (m *modelFleet) replace(t *rapid.T) {
	if m.replacedAgents == maxReplacements {
		t.Skip("enough replacements")
	}
	m.replacedAgents++
	index := m.drawEngine(t)
	m.agents[index].Kill()
	m.instanceList.Remove(m.agentID(index))
	m.addModel(len(m.engines))
	for i, live := range m.liveEngines {
		if live == index {
			m.liveEngines[i] = len(m.engines) - 1
		}
	}
}

func (m *modelFleet) agentID(i int) core.InstanceID {
	return core.InstanceID(fmt.Sprint("model-", i))
}

// rollOut confirms a new version without waiting until it is served.
func (m *modelFleet) rollOut(t *rapid.T) {
	m.lastVersion++
	m.applyIfAccepted(t, placeIntent(m.publish(fmt.Sprint("v", m.lastVersion)).Version))
}

func (m *modelFleet) drain(t *rapid.T) {
	drain := &intent.Drain{Selector: intent.Selector{FailureDomain: "r1a"}, StreamGraceMS: 20, Move: true, AcceptLess: true}
	m.applyIfAccepted(t, intent.Intent{Drain: drain})
}

func (m *modelFleet) resume(t *rapid.T) {
	m.applyIfAccepted(t, intent.Intent{Resume: &intent.Resume{Selector: intent.Selector{FailureDomain: "r1a"}}})
}

// applyIfAccepted proposes and confirms an intent; it ignores refusals.
func (m *modelFleet) applyIfAccepted(t *rapid.T, in intent.Intent) {
	entry := rapid.IntRange(0, 1).Draw(t, "operator's entry")
	plan, err := m.operator(entry).Propose(m.ctx, in)
	if err == nil {
		_, _ = m.operator(entry).Confirm(m.ctx, plan.ID)
	}
}

func (m *modelFleet) outage(t *rapid.T) {
	m.kv.SetDown(true)
	m.callConcurrently(t)
	m.kv.SetDown(false)
}

// awaitSettled blocks until every live endpoint serves the last version.
func (m *modelFleet) awaitSettled() {
	m.waitUntil("both entries have the same generation", func() bool { return m.entries[0].Generation() == m.entries[1].Generation() })
	target := m.entries[0].documents.Current().Placements[0].Model
	m.waitUntil("every endpoint serves "+target.Version, func() bool {
		for _, i := range m.liveEngines {
			if m.engines[i].Serving() != target || m.agents[i].Serving() != target {
				return false
			}
		}
		return true
	})
}

func (m *modelFleet) checkInvariants(t *rapid.T) {
	for _, e := range m.engines {
		assert.Equal(t, e.Counts().MixedWeights, uint64(0))
	}
	for i, e := range m.entries {
		generation := e.Generation()
		assert.Assert(t, generation >= m.highestGeneration[i], "entry %d reverted from generation %d to %d", i, m.highestGeneration[i], generation)
		m.highestGeneration[i] = generation
	}
}

func TestModelCallsStateful(t *testing.T) {
	f, _ := newServingFleet(t, modelReplicas, 2, func(f *testFleet) {
		f.callTimeout = 5 * time.Second
		f.engineConfig = func(c *fakes.EngineConfig) { c.TokenInterval = 2 * time.Millisecond }
	})
	m := &modelFleet{testFleet: f, liveEngines: []int{0, 1, 2, 3}, lastVersion: 1, outcomes: map[string]int{}}
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(map[string]func(*rapid.T){
			"calls": m.callConcurrently, "more calls": m.callConcurrently, "calls again": m.callConcurrently,
			"crash": m.crash, "replace": m.replace, "push": m.rollOut,
			"drain": m.drain, "resume": m.resume, "outage": m.outage,
			"": m.checkInvariants,
		})
	})
	f.waitUntil("drained endpoints resume", func() bool {
		in := intent.Intent{Resume: &intent.Resume{Selector: intent.Selector{Role: core.RoleModel}}}
		plan, err := f.operator(0).Propose(f.ctx, in)
		if err == nil {
			_, err = f.operator(0).Confirm(f.ctx, plan.ID)
		}
		return err == nil || len(f.entries[0].documents.Current().Stops) == 0
	})
	m.awaitSettled()
	t.Log(m.outcomes)
	assert.Assert(t, m.outcomes["answered"] > 0)
}
