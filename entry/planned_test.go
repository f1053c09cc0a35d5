package entry

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/intent"
)

// openAll starts streams over the fleet and reads their first tokens.
func (f *testFleet) openAll(n, tokens int) []*stream {
	f.t.Helper()
	streams := make([]*stream, n)
	for i := range streams {
		s, refused := f.open(i%len(f.entries), fmt.Sprint("p", i), tokens)
		assert.Assert(f.t, refused == nil, "%v", refused)
		s.readTokens(2)
		streams[i] = s
	}
	return streams
}

// readWhole reads streams of openAll to their ends.
func (f *testFleet) readWhole(streams []*stream, tokens int) {
	f.t.Helper()
	var readers sync.WaitGroup
	for i, s := range streams {
		readers.Go(func() { s.readAll(fmt.Sprint("p", i)) })
	}
	readers.Wait()
	for i, s := range streams {
		assert.Check(f.t, s.whole && s.tokens == tokens, "stream %d has %d tokens: %v", i, s.tokens, s.failure)
	}
}

// awaitOut blocks until no entry sends to an instance.
func (f *testFleet) awaitOut(id core.InstanceID) {
	f.t.Helper()
	for _, e := range f.entries {
		f.until("no work for "+string(id), func() bool {
			table := e.routes.table.Load()
			for i := range table.Len() {
				if s := table.Endpoint(i); s.ID == id && !s.Draining && !s.Leaving {
					return false
				}
			}
			return true
		})
	}
}

// checkIdle sends calls and checks that an endpoint gets none.
func (f *testFleet) checkIdle(engine int) {
	f.t.Helper()
	f.engines[engine].MarkLeaving(time.Now())
	for i := range 20 {
		text, version := f.ask(i%len(f.entries), "", fmt.Sprint("after", i), 2)
		assert.Equal(f.t, text, wholeAnswer(fmt.Sprint("after", i), version, 2))
	}
	counts := f.engines[engine].Counts()
	assert.Equal(f.t, counts.StartedAfterLeave, uint64(0))
	assert.Equal(f.t, counts.EndedByLoad+counts.EndedByCrash, uint64(0))
	f.engines[engine].MarkLeaving(time.Time{})
}

// moved returns how many attempts the agent ended at its engine.
func (f *testFleet) moved(engine int) uint64 {
	counts := f.engines[engine].Counts()
	return counts.Abandoned + counts.Cancelled
}

func TestDrainAndResumeCutNothing(t *testing.T) {
	const tokens = 100
	for _, move := range []bool{false, true} {
		t.Run(fmt.Sprintf("move=%v", move), func(t *testing.T) {
			f, v1 := serving(t, 3, 2, slowTokens)
			streams := f.openAll(9, tokens)
			selector := intent.Selector{FailureDomain: "r1a"}
			drain := &intent.Drain{Selector: selector, StreamGraceMS: 20000, Move: move, AcceptLess: true}
			if move {
				drain.StreamGraceMS = 50
			}
			f.carryOut(0, intent.Intent{Drain: drain})
			f.awaitOut("model-1")
			f.checkIdle(1)
			f.readWhole(streams, tokens)
			assert.Equal(t, f.moved(1) > 0, move)
			f.carryOut(1, intent.Intent{Resume: &intent.Resume{Selector: selector}})
			f.awaitEndpoints(0, v1, 3)
			f.awaitEndpoints(1, v1, 3)
		})
	}
}

// TestLeavingAgentCutsNothing stops an agent that the instance list goes on
// to show as live.
func TestLeavingAgentCutsNothing(t *testing.T) {
	const tokens = 100
	f, _ := serving(t, 3, 2, slowTokens)
	streams := f.openAll(9, tokens)
	f.running["model-1"].leave()
	f.awaitOut("model-1")
	f.checkIdle(1)
	f.readWhole(streams, tokens)
	<-f.running["model-1"].ended
	assert.Equal(t, f.moved(1), uint64(0))
}

func TestLeavingEntryCutsNothing(t *testing.T) {
	const tokens = 100
	f, _ := serving(t, 2, 2, slowTokens)
	streams := f.openAll(6, tokens)
	f.running["entry-0"].leave()
	f.readWhole(streams, tokens)
	<-f.running["entry-0"].ended
}

// TestAnswerStartsAnewWhenItsVersionIsDrained moves an answer, of which its
// caller has seen nothing, away from the last endpoint of its version.
func TestAnswerStartsAnewWhenItsVersionIsDrained(t *testing.T) {
	f := newTestFleet(t, 2, 0, 1, slowTokens, func(f *testFleet) { f.callTimeout = 30 * time.Second })
	f.awaitAgents()
	v1, v2 := f.publish("v1"), f.publish("v2")
	for i, region := range []string{"r0", "r1"} {
		in := place([]string{"v1", "v2"}[i])
		in.Place.Region = region
		f.carryOut(0, in)
	}
	f.awaitEndpoints(0, v1, 1)
	f.awaitEndpoints(0, v2, 1)
	// The answers are long, so that none ends before the drain: 8 s at 5 ms a
	// token. Beside heavy load one still ends on v1; see KNOWN-RED.txt.
	const tokens = 1600
	type answer struct{ text, version string }
	answers := make(chan answer, 8)
	for i := range cap(answers) {
		go func() {
			text, version := f.ask(0, "urgent", fmt.Sprint("anew", i), tokens)
			assert.Check(t, text == wholeAnswer(fmt.Sprint("anew", i), version, tokens))
			answers <- answer{text, version}
		}()
	}
	f.until("a call runs at each", func() bool {
		return f.engines[0].Counts().Started > 0 && f.engines[1].Counts().Started > 0
	})
	drain := &intent.Drain{Selector: intent.Selector{Region: "r0"}, StreamGraceMS: 20, Move: true, AcceptLess: true}
	f.carryOut(0, intent.Intent{Drain: drain})
	for range cap(answers) {
		select {
		case a := <-answers:
			assert.Equal(t, a.version, "v2")
		case <-f.ctx.Done():
			t.Fatal("an answer is missing")
		}
	}
}
