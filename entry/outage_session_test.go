package entry

import (
	"testing"

	"gotest.tools/v3/golden"
)

// TestOutageSession compares a session with a golden file: two operators have
// plans while the key-value service becomes unavailable and recovers.
func TestOutageSession(t *testing.T) {
	s := &operatorSession{testFleet: newTestFleet(t, 2, 1, 2)}
	s.awaitAgents()
	v1 := s.publish("v1")
	s.printLine("# place")
	s.confirm(0, s.propose(0, placeIntent("v1")))
	s.status(isSettled(v1, 0))

	s.printLine("# two operators, and the service goes away")
	first := s.propose(0, rankRuleIntent("checklist"))
	second := s.propose(1, rankRuleIntent("letter"))
	s.kv.SetDown(true)
	s.confirm(0, first)
	s.confirm(1, second)
	text, version := s.complete(0, "", "during the outage", 8)
	s.printLine("a call is answered by %s: whole %t\n", version, text == expectedText("during the outage", version, 8))

	s.printLine("# it comes back")
	s.kv.SetDown(false)
	s.confirm(1, second)
	s.confirm(0, first)
	s.confirm(1, second)
	s.status(isSettled(v1, 0))
	golden.Assert(t, s.normalisedTranscript(), "outage.golden")
}
