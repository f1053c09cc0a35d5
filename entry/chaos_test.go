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
	chaosTokens = 12
	chaosModels = 4
)

// modelFleet is a fleet of models to which failures happen. The oracle is
// what engines make for a prompt and a version, and what they have begun.
type modelFleet struct {
	*testFleet
	live     []int // The endpoints that were not replaced.
	replaced int
	prompts  int
	version  int
	seen     [2]core.Generation // By entry.
	told     map[string]int
}

// calls runs some calls at the same time and checks their answers.
func (m *modelFleet) calls(t *rapid.T) {
	var callers sync.WaitGroup
	outcomes := make([]string, rapid.IntRange(1, 8).Draw(t, "calls"))
	for i := range outcomes {
		m.prompts++
		prompt := fmt.Sprint("prompt-", m.prompts)
		entry := rapid.IntRange(0, 1).Draw(t, "entry")
		kind := rapid.SampledFrom([]string{"urgent", "", "background"}).Draw(t, "kind")
		callers.Go(func() { outcomes[i] = m.call(t, entry, kind, prompt) })
	}
	callers.Wait()
	for _, outcome := range outcomes {
		m.told[outcome]++
	}
}

func (m *modelFleet) call(t *rapid.T, entry int, kind, prompt string) string {
	body := fmt.Sprintf(`{"model":"letters","max_tokens":%d,"prompt":%q}`, chaosTokens, prompt)
	status, header, answer := m.post(entry, "/v1/completions", body, kindHeader, kind)
	if status != http.StatusOK {
		var refused problem.Problem
		assert.Check(t, json.Unmarshal([]byte(answer), &refused))
		if refused.Execution == problem.ExecutionNotStarted {
			assert.Check(t, m.begun(prompt) == 0, "%s has begun: %s", prompt, answer)
		}
		return fmt.Sprint(refused.Code, " ", refused.Execution)
	}
	var chunk chatChunk
	assert.Check(t, json.Unmarshal([]byte(answer), &chunk))
	version := header.Get(versionHeader)
	assert.Check(t, chunk.Choices[0].Message.Content == wholeAnswer(prompt, version, chaosTokens), "%s: %s", prompt, answer)
	return "answered"
}

func (m *modelFleet) pick(t *rapid.T) int {
	return rapid.SampledFrom(m.live).Draw(t, "endpoint")
}

func (m *modelFleet) crash(t *rapid.T) {
	m.engines[m.pick(t)].Crash()
}

// replace kills an agent and adds one with a new ID and engine.
func (m *modelFleet) replace(t *rapid.T) {
	if m.replaced == maxReplacements {
		t.Skip("enough replacements")
	}
	m.replaced++
	at := m.pick(t)
	m.agents[at].Kill()
	m.list.Remove(m.agentID(at))
	m.addModel(len(m.engines))
	for i, live := range m.live {
		if live == at {
			m.live[i] = len(m.engines) - 1
		}
	}
}

func (m *modelFleet) agentID(i int) core.InstanceID {
	return core.InstanceID(fmt.Sprint("model-", i))
}

// push confirms a new version without waiting for its end.
func (m *modelFleet) push(t *rapid.T) {
	m.version++
	m.try(t, place(m.publish(fmt.Sprint("v", m.version)).Version))
}

func (m *modelFleet) drain(t *rapid.T) {
	drain := &intent.Drain{Selector: intent.Selector{FailureDomain: "r1a"}, StreamGraceMS: 20, Move: true, AcceptLess: true}
	m.try(t, intent.Intent{Drain: drain})
}

func (m *modelFleet) resume(t *rapid.T) {
	m.try(t, intent.Intent{Resume: &intent.Resume{Selector: intent.Selector{FailureDomain: "r1a"}}})
}

// try carries an intent out, unless it is refused.
func (m *modelFleet) try(t *rapid.T, in intent.Intent) {
	entry := rapid.IntRange(0, 1).Draw(t, "operator's entry")
	plan, err := m.operator(entry).Propose(m.ctx, in)
	if err == nil {
		_, _ = m.operator(entry).Confirm(m.ctx, plan.ID)
	}
}

func (m *modelFleet) outage(t *rapid.T) {
	m.kv.SetDown(true)
	m.calls(t)
	m.kv.SetDown(false)
}

// settle waits until every live endpoint serves the last version.
func (m *modelFleet) settle() {
	m.until("one generation", func() bool { return m.entries[0].Generation() == m.entries[1].Generation() })
	target := m.entries[0].held.Current().Placements[0].Model
	m.until("every endpoint serves "+target.Version, func() bool {
		for _, i := range m.live {
			if m.engines[i].Serving() != target || m.agents[i].Serving() != target {
				return false
			}
		}
		return true
	})
}

func (m *modelFleet) verify(t *rapid.T) {
	for _, e := range m.engines {
		assert.Equal(t, e.Counts().MixedWeights, uint64(0))
	}
	for i, e := range m.entries {
		g := e.Generation()
		assert.Assert(t, g >= m.seen[i], "entry %d went back from %d to %d", i, m.seen[i], g)
		m.seen[i] = g
	}
}

func TestModelCallsStateful(t *testing.T) {
	f, _ := serving(t, chaosModels, 2, func(f *testFleet) {
		f.callTimeout = 5 * time.Second
		f.engineConfig = func(c *fakes.EngineConfig) { c.TokenInterval = 2 * time.Millisecond }
	})
	m := &modelFleet{testFleet: f, live: []int{0, 1, 2, 3}, version: 1, told: map[string]int{}}
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(map[string]func(*rapid.T){
			"calls": m.calls, "more calls": m.calls, "calls again": m.calls,
			"crash": m.crash, "replace": m.replace, "push": m.push,
			"drain": m.drain, "resume": m.resume, "outage": m.outage,
			"": m.verify,
		})
	})
	f.until("drained endpoints resume", func() bool {
		in := intent.Intent{Resume: &intent.Resume{Selector: intent.Selector{Role: core.RoleModel}}}
		plan, err := f.operator(0).Propose(f.ctx, in)
		if err == nil {
			_, err = f.operator(0).Confirm(f.ctx, plan.ID)
		}
		return err == nil || len(f.entries[0].held.Current().Stops) == 0
	})
	m.settle()
	t.Log(m.told)
	assert.Assert(t, m.told["answered"] > 0)
}
