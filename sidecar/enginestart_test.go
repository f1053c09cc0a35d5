package sidecar

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/loadreport"
)

// Guards against a restart of the engine that entries hear of late or not at all, also one
// beside a failed poll, and against one that is made up when the agent starts.
func TestStartOfTheEngineIsSeenOnce(t *testing.T) {
	var s engineStart
	assert.Equal(t, s.age(at(0)), loadreport.StartAge{})
	s.answered(at(0), 1000, false)
	s.answered(at(50), 1000, false)
	assert.Equal(t, s.age(at(2000)), loadreport.StartAge{Known: true, Age: 2 * time.Second})
	s.answered(at(5000), 2000, false)
	assert.Equal(t, s.age(at(5000)), loadreport.StartAge{Known: true, Seen: true})
	s.answered(at(5050), 2000, true)
	assert.Equal(t, s.age(at(5100)), loadreport.StartAge{Known: true, Seen: true, Age: 100 * time.Millisecond})
	s.answered(at(6000), 1500, false)
	assert.Equal(t, s.age(at(6000)), loadreport.StartAge{Known: true, Seen: true}, "the engine's clock went back")
}

// Guards against a restart that goes unnoticed since the engine names no start.
func TestEngineWithoutAStartTimeHasStartedAfterAFailedPoll(t *testing.T) {
	var s engineStart
	s.answered(at(0), 0, true)
	assert.Equal(t, s.age(at(0)), loadreport.StartAge{Known: true})
	s.answered(at(50), 0, false)
	assert.Equal(t, s.age(at(100)), loadreport.StartAge{Known: true, Age: 100 * time.Millisecond})
	s.answered(at(2000), 0, true)
	assert.Equal(t, s.age(at(2000)), loadreport.StartAge{Known: true, Seen: true})
}

// Guards against a number of entries from an agent that has just started or stood still and
// does not know all of them yet.
func TestAgentIsSettledAfterTwoSecondsWithoutAGap(t *testing.T) {
	var s engineStart
	for ms := 0; ms < 2000; ms += 50 {
		assert.Assert(t, !s.settled(at(ms)))
	}
	assert.Assert(t, s.settled(at(2000)))
	assert.Assert(t, s.settled(at(2990)))
	assert.Assert(t, !s.settled(at(3990)), "stood still for a second")
	for ms := 4000; ms < 5990; ms += 450 {
		assert.Assert(t, !s.settled(at(ms)))
	}
	assert.Assert(t, s.settled(at(5990)))
}
