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

// operatorSession records an operator's actions and the output.
type operatorSession struct {
	*testFleet
	transcript bytes.Buffer
	plans      []string // Plan IDs in order; the transcript shows them as p-1, p-2...
}

func (s *operatorSession) printLine(format string, args ...any) {
	fmt.Fprintf(&s.transcript, format+"\n", args...)
}

// propose prints the plan of an intent and its changes.
func (s *operatorSession) propose(entry int, in intent.Intent) string {
	s.t.Helper()
	s.printLine("# propose at entry %d", entry)
	plan, err := s.operator(entry).Propose(s.ctx, in)
	assert.NilError(s.t, err)
	s.plans = append(s.plans, plan.ID)
	assert.NilError(s.t, operator.WritePlan(&s.transcript, plan))
	changes, err := s.operator(entry).Diff(s.ctx, plan.ID)
	assert.NilError(s.t, err)
	assert.NilError(s.t, operator.WriteDiff(&s.transcript, changes))
	return plan.ID
}

// confirm prints the generation that a confirmed plan creates, or the refusal.
func (s *operatorSession) confirm(entry int, plan string) {
	s.t.Helper()
	s.printLine("# confirm at entry %d", entry)
	generation, err := s.operator(entry).Confirm(s.ctx, plan)
	if err != nil {
		s.printLine("refused: %v\n", err)
		return
	}
	assert.NilError(s.t, operator.WriteConfirmation(&s.transcript, operator.Confirmation{Plan: plan, Generation: generation}))
}

// status prints the fleet's status once it is settled, without the holder of the
// lease and the fences, which vary.
func (s *operatorSession) status(settled func(operator.Status) bool) {
	s.t.Helper()
	var status operator.Status
	s.waitUntil("a settled fleet", func() bool {
		var err error
		status, err = s.operator(0).Status(s.ctx)
		assert.NilError(s.t, err)
		return settled(status)
	})
	status.Executor, status.Fence = false, 0
	for i := range status.Agents {
		status.Agents[i].Fence = 0
	}
	s.printLine("# status")
	assert.NilError(s.t, operator.WriteStatus(&s.transcript, status))
}

func (s *operatorSession) normalisedTranscript() string {
	text := s.transcript.String()
	for i, id := range s.plans {
		text = strings.ReplaceAll(text, id, fmt.Sprintf("p-%d", i+1))
	}
	return text
}

// isSettled returns a condition that holds when every model endpoint serves a
// version and the given number of agents is draining.
func isSettled(m core.ModelRef, draining int) func(operator.Status) bool {
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
	s.printLine("# place")
	s.confirm(0, s.propose(0, placeIntent("v1")))
	s.status(isSettled(v1, 0))

	s.printLine("# version change, with a second operator")
	loser := s.propose(1, rankRuleIntent("checklist"))
	winner := s.propose(0, placeIntent("v2"))
	s.confirm(0, winner)
	s.confirm(1, winner)
	s.confirm(1, loser)
	s.status(isSettled(v2, 0))

	s.printLine("# drain")
	selector := intent.Selector{FailureDomain: "r1a", Role: core.RoleModel}
	drain := intent.Drain{Selector: selector, StreamGraceMS: 1000, Move: true}
	_, err := s.operator(0).Propose(s.ctx, intent.Intent{Drain: &drain})
	s.printLine("refused: %v\n", err)
	drain.AcceptLess = true
	s.confirm(1, s.propose(1, intent.Intent{Drain: &drain}))
	s.status(isSettled(v2, 2))

	s.printLine("# resume")
	s.confirm(0, s.propose(0, intent.Intent{Resume: &intent.Resume{Selector: selector}}))
	s.status(isSettled(v2, 0))
	s.checkNoMixedWeights()
	golden.Assert(t, s.normalisedTranscript(), "session.golden")
}
