package entry

import (
	"testing"

	"gotest.tools/v3/golden"
)

// TestOutageSession keeps a whole session as a golden file: two operators hold
// plans while the key-value service goes away and comes back.
func TestOutageSession(t *testing.T) {
	s := &operatorSession{testFleet: newTestFleet(t, 2, 1, 2)}
	s.awaitAgents()
	v1 := s.publish("v1")
	s.line("# place")
	s.confirm(0, s.propose(0, place("v1")))
	s.status(settledOn(v1, 0))

	s.line("# two operators, and the service goes away")
	first := s.propose(0, rule("checklist"))
	second := s.propose(1, rule("letter"))
	s.kv.SetDown(true)
	s.confirm(0, first)
	s.confirm(1, second)
	text, version := s.ask(0, "", "during the outage", 8)
	s.line("a call is answered by %s: whole %t\n", version, text == wholeAnswer("during the outage", version, 8))

	s.line("# it comes back")
	s.kv.SetDown(false)
	s.confirm(1, second)
	s.confirm(0, first)
	s.confirm(1, second)
	s.status(settledOn(v1, 0))
	golden.Assert(t, s.text(), "outage.golden")
}
