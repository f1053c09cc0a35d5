package entry

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/intent"
)

// openStreams starts streams at all entries in turn and reads their first tokens.
func (f *testFleet) openStreams(n, tokens int) []*stream {
	f.t.Helper()
	streams := make([]*stream, n)
	for i := range streams {
		s, refused := f.openStream(i%len(f.entries), fmt.Sprint("p", i), tokens)
		assert.Assert(f.t, refused == nil, "%v", refused)
		s.readTokens(2)
		streams[i] = s
	}
	return streams
}

// readStreams reads the streams of openStreams to their ends and checks them.
func (f *testFleet) readStreams(streams []*stream, tokens int) {
	f.t.Helper()
	var readers sync.WaitGroup
	for i, s := range streams {
		readers.Go(func() { s.readAll(fmt.Sprint("p", i)) })
	}
	readers.Wait()
	for i, s := range streams {
		assert.Check(f.t, s.complete && s.tokens == tokens, "stream %d has %d tokens: %v", i, s.tokens, s.failure)
	}
}

// awaitNoNewCalls blocks until no entry sends new calls to an instance.
func (f *testFleet) awaitNoNewCalls(id core.InstanceID) {
	f.t.Helper()
	for _, e := range f.entries {
		f.waitUntil("no new calls for "+string(id), func() bool { return !e.takesNewCalls(id) })
	}
}

// takesNewCalls reports whether the entry may send new calls to an instance.
func (e *Entry) takesNewCalls(id core.InstanceID) bool {
	table := e.routes.table.Load()
	for i := range table.Len() {
		if s := table.Endpoint(i); s.ID == id && !s.Draining && !s.Leaving {
			return true
		}
	}
	return false
}

// checkGetsNoCalls sends calls and checks that an engine gets none of them and
// cut none off.
func (f *testFleet) checkGetsNoCalls(engine int) {
	f.t.Helper()
	f.engines[engine].MarkLeaving(time.Now())
	for i := range 20 {
		text, version := f.complete(i%len(f.entries), "", fmt.Sprint("after", i), 2)
		assert.Equal(f.t, text, expectedText(fmt.Sprint("after", i), version, 2))
	}
	counts := f.engines[engine].Counts()
	assert.Equal(f.t, counts.StartedAfterLeave, uint64(0))
	assert.Equal(f.t, counts.EndedByLoad+counts.EndedByCrash, uint64(0))
	f.engines[engine].MarkLeaving(time.Time{})
}

// endedAttempts returns the number of attempts that an agent ended at its engine.
func (f *testFleet) endedAttempts(engine int) uint64 {
	counts := f.engines[engine].Counts()
	return counts.Abandoned + counts.Cancelled
}

func TestDrainAndResumeCutNoStream(t *testing.T) {
	const tokens = 100
	for _, move := range []bool{false, true} {
		t.Run(fmt.Sprintf("move=%v", move), func(t *testing.T) {
			f, v1 := newServingFleet(t, 3, 2, withSlowTokens)
			streams := f.openStreams(9, tokens)
			selector := intent.Selector{FailureDomain: "r1a"}
			drain := &intent.Drain{Selector: selector, StreamGraceMS: 20000, Move: move, AcceptLess: true}
			if move {
				drain.StreamGraceMS = 50
			}
			f.applyIntent(0, intent.Intent{Drain: drain})
			f.awaitNoNewCalls("model-1")
			f.checkGetsNoCalls(1)
			f.readStreams(streams, tokens)
			assert.Equal(t, f.endedAttempts(1) > 0, move)
			f.applyIntent(1, intent.Intent{Resume: &intent.Resume{Selector: selector}})
			f.awaitEndpoints(0, v1, 3)
			f.awaitEndpoints(1, v1, 3)
		})
	}
}

// TestDrainOutlivesAgentRestart restarts the agent of a drained endpoint while the
// key-value service is down and no entry holds the executor's lease.
func TestDrainOutlivesAgentRestart(t *testing.T) {
	f, v1 := newServingFleet(t, 3, 2)
	f.applyIntent(0, intent.Intent{Drain: &intent.Drain{Selector: intent.Selector{FailureDomain: "r1a"}, StreamGraceMS: 1000, AcceptLess: true}})
	f.awaitNoNewCalls("model-1")
	holder := f.leaseHolder()
	f.kv.SetDown(true)
	f.entries[holder].Kill()
	<-f.programs[f.entries[holder].cfg.Instance.ID].ended
	f.entries = slices.Delete(f.entries, holder, holder+1)
	generation := f.entries[0].Generation()
	f.restartAgent(1)
	f.waitUntil("the new agent serves and has the configuration", func() bool {
		return f.agents[1].Generation() >= generation && f.agents[1].Serving() == v1
	})
	time.Sleep(time.Second) // Several reports of the new agent.
	assert.Assert(t, !f.entries[0].takesNewCalls("model-1"), "the endpoint is back in service without a resume")
}

// TestLeavingAgentCutsNoStream shuts down an agent that the instance list still
// shows as live.
func TestLeavingAgentCutsNoStream(t *testing.T) {
	const tokens = 100
	f, _ := newServingFleet(t, 3, 2, withSlowTokens)
	streams := f.openStreams(9, tokens)
	f.programs["model-1"].stop()
	f.awaitNoNewCalls("model-1")
	f.checkGetsNoCalls(1)
	f.readStreams(streams, tokens)
	<-f.programs["model-1"].ended
	assert.Equal(t, f.endedAttempts(1), uint64(0))
}

func TestLeavingEntryCutsNoStream(t *testing.T) {
	const tokens = 100
	f, _ := newServingFleet(t, 2, 2, withSlowTokens)
	streams := f.openStreams(6, tokens)
	f.programs["entry-0"].stop()
	f.readStreams(streams, tokens)
	<-f.programs["entry-0"].ended
}

// TestAnswerStartsAnewWhenItsVersionIsDrained drains the last endpoint of a
// version while it generates responses of which the callers have seen nothing.
func TestAnswerStartsAnewWhenItsVersionIsDrained(t *testing.T) {
	f := newTestFleet(t, 2, 0, 1, withSlowTokens, func(f *testFleet) { f.callTimeout = 30 * time.Second })
	f.awaitAgents()
	v1, v2 := f.publish("v1"), f.publish("v2")
	for i, region := range []string{"r0", "r1"} {
		in := placeIntent([]string{"v1", "v2"}[i])
		in.Place.Region = region
		f.applyIntent(0, in)
	}
	f.awaitEndpoints(0, v1, 1)
	f.awaitEndpoints(0, v2, 1)
	// The responses are long, 8 s at 5 ms per token, so that none ends before the
	// drain. Under heavy load one still ends on v1; see KNOWN-RED.txt.
	const tokens = 1600
	type response struct{ text, version string }
	responses := make(chan response, 8)
	for i := range cap(responses) {
		go func() {
			text, version := f.complete(0, "urgent", fmt.Sprint("anew", i), tokens)
			assert.Check(t, text == expectedText(fmt.Sprint("anew", i), version, tokens))
			responses <- response{text, version}
		}()
	}
	f.waitUntil("a call runs at each engine", func() bool {
		return f.engines[0].Counts().Started > 0 && f.engines[1].Counts().Started > 0
	})
	drain := &intent.Drain{Selector: intent.Selector{Region: "r0"}, StreamGraceMS: 20, Move: true, AcceptLess: true}
	f.applyIntent(0, intent.Intent{Drain: drain})
	for range cap(responses) {
		select {
		case r := <-responses:
			assert.Equal(t, r.version, "v2")
		case <-f.ctx.Done():
			t.Fatal("a response is missing")
		}
	}
}
