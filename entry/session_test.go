package entry

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/intent"
	"github.com/snipestep/snipestep/operator"
)

// operatorSession writes down what an operator does and sees.
type operatorSession struct {
	*testFleet
	printed bytes.Buffer
	plans   []string // Identifiers in order; they are printed as p-1, p-2...
}

func (s *operatorSession) line(format string, args ...any) {
	fmt.Fprintf(&s.printed, format+"\n", args...)
}

// propose prints the plan of an intent and what it changes.
func (s *operatorSession) propose(entry int, in intent.Intent) string {
	s.t.Helper()
	s.line("# propose at entry %d", entry)
	plan, err := s.operator(entry).Propose(s.ctx, in)
	assert.NilError(s.t, err)
	s.plans = append(s.plans, plan.ID)
	assert.NilError(s.t, operator.WritePlan(&s.printed, plan))
	changes, err := s.operator(entry).Diff(s.ctx, plan.ID)
	assert.NilError(s.t, err)
	assert.NilError(s.t, operator.WriteDiff(&s.printed, changes))
	return plan.ID
}

// confirm prints the generation that a plan makes, or the refusal.
func (s *operatorSession) confirm(entry int, plan string) {
	s.t.Helper()
	s.line("# confirm at entry %d", entry)
	generation, err := s.operator(entry).Confirm(s.ctx, plan)
	if err != nil {
		s.line("refused: %v\n", err)
		return
	}
	assert.NilError(s.t, operator.WriteConfirmation(&s.printed, operator.Confirmation{Plan: plan, Generation: generation}))
}

// status prints the fleet once it is settled. Which entry holds the lease,
// and how often it changed hands, is left out.
func (s *operatorSession) status(settled func(operator.Status) bool) {
	s.t.Helper()
	var status operator.Status
	s.until("a settled fleet", func() bool {
		var err error
		status, err = s.operator(0).Status(s.ctx)
		assert.NilError(s.t, err)
		return settled(status)
	})
	status.Executor, status.Fence = false, 0
	for i := range status.Agents {
		status.Agents[i].Fence = 0
	}
	s.line("# status")
	assert.NilError(s.t, operator.WriteStatus(&s.printed, status))
}

func (s *operatorSession) text() string {
	text := s.printed.String()
	for i, id := range s.plans {
		text = strings.ReplaceAll(text, id, fmt.Sprintf("p-%d", i+1))
	}
	return text
}

// settledOn tells that every model serves a version and how many are drained.
func settledOn(m core.ModelRef, draining int) func(operator.Status) bool {
	return func(s operator.Status) bool {
		drained := 0
		for _, a := range s.Agents {
			serves := a.Serving == m || a.Instance.Role != core.RoleModel
			if a.Swapping || !a.Healthy || !serves {
				return false
			}
			if a.Draining {
				drained++
			}
		}
		return drained == draining
	}
}

func TestOperatorSession(t *testing.T) {
	s := &operatorSession{testFleet: newTestFleet(t, 4, 1, 2)}
	s.awaitAgents()
	v1, v2 := s.publish("v1"), s.publish("v2")
	s.line("# place")
	s.confirm(0, s.propose(0, place("v1")))
	s.status(settledOn(v1, 0))

	s.line("# version change, with a second operator")
	loser := s.propose(1, rule("checklist"))
	winner := s.propose(0, place("v2"))
	s.confirm(0, winner)
	s.confirm(1, winner)
	s.confirm(1, loser)
	s.status(settledOn(v2, 0))

	s.line("# drain")
	selector := intent.Selector{FailureDomain: "r1a", Role: core.RoleModel}
	drain := intent.Drain{Selector: selector, StreamGraceMS: 1000, Move: true}
	_, err := s.operator(0).Propose(s.ctx, intent.Intent{Drain: &drain})
	s.line("refused: %v\n", err)
	drain.AcceptLess = true
	s.confirm(1, s.propose(1, intent.Intent{Drain: &drain}))
	s.status(settledOn(v2, 2))

	s.line("# resume")
	s.confirm(0, s.propose(0, intent.Intent{Resume: &intent.Resume{Selector: selector}}))
	s.status(settledOn(v2, 0))
	s.checkWeights()
	golden.Assert(t, s.text(), "session.golden")
}
