package agent

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/fstest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/endpoint"
	"github.com/snipestep/snipestep/internal/fakes"
	"github.com/snipestep/snipestep/weights"
	"github.com/snipestep/snipestep/wire"
)

var testKey = []byte("0123456789abcdef")

const testChunkBytes = 4096

// fixture is one agent with a fake engine, and a session like that of an entry.
type fixture struct {
	t       *testing.T
	agent   *Agent
	engine  *fakes.Engine
	session *wire.Session
	// engineURL, slots and wrapEngine are kept for startAgent.
	engineURL  string
	slots      int
	wrapEngine func(endpoint.Engine) endpoint.Engine
	stop       context.CancelFunc
	runEnded   chan error
}

func freeAddr(t *testing.T, network string) string {
	t.Helper()
	if network == "udp" {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		assert.NilError(t, err)
		defer c.Close()
		return c.LocalAddr().String()
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

func manifestDigests(encoded []byte) ([]core.Digest, error) {
	m, err := weights.DecodeManifest(encoded, core.SumDigest(encoded))
	if err != nil {
		return nil, err
	}
	return m.Chunks, nil
}

func newFixture(t *testing.T, slots int, tokenInterval time.Duration) *fixture {
	t.Helper()
	return newFixtureWithEngine(t, slots, tokenInterval, func(engine endpoint.Engine) endpoint.Engine { return engine })
}

// newFixtureWithEngine is newFixture with the client of the engine wrapped.
func newFixtureWithEngine(t *testing.T, slots int, tokenInterval time.Duration, wrap func(endpoint.Engine) endpoint.Engine) *fixture {
	t.Helper()
	engine := fakes.NewEngine(fakes.EngineConfig{
		Slots: slots, TokenInterval: tokenInterval, ChecksFencing: true, AttemptMismatchRatio: 0.2, ChunkDigests: manifestDigests,
	})
	server := httptest.NewServer(engine)
	t.Cleanup(server.Close)
	f := &fixture{t: t, engine: engine, engineURL: server.URL, slots: slots, wrapEngine: wrap}
	f.startAgent()
	t.Cleanup(func() { f.stopAgent() })
	return f
}

// startAgent starts an agent at the engine and opens a session to it. Another process may take one of
// the free ports before the agent listens; then it is started at others.
func (f *fixture) startAgent() {
	f.t.Helper()
	for !f.runAgent() {
		f.stop()
	}
	var err error
	f.session, err = wire.Dial(f.t.Context(), (&net.Dialer{}).DialContext, f.agent.cfg.Instance.SessionAddr,
		wire.Identity{Instance: "e1", FleetKey: testKey}, func(context.Context, *wire.Session, *wire.Stream, *wire.StreamHeader) {})
	assert.NilError(f.t, err)
}

// runAgent runs an agent at the engine. It reports whether the agent is ready, false if a port was taken.
func (f *fixture) runAgent() bool {
	f.t.Helper()
	origin := backing.NewHTTPOrigin(backing.HTTPConfig{BaseURL: "http://127.0.0.1:1"})
	a, err := New(Config{
		Instance: core.Instance{
			ID: "m1", Role: core.RoleModel,
			SessionAddr: freeAddr(f.t, "tcp"), DatagramAddr: freeAddr(f.t, "udp"), ChunkAddr: freeAddr(f.t, "tcp"),
		},
		FleetKey: testKey, Slots: f.slots, ChecksFencing: true,
	}, Deps{Origin: origin, Store: origin, Engine: f.wrapEngine(endpoint.NewHTTPEngine(endpoint.HTTPConfig{BaseURL: f.engineURL, Timeout: 10 * time.Second}))})
	assert.NilError(f.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	f.agent, f.stop, f.runEnded = a, cancel, make(chan error, 1)
	go func(ended chan<- error) { ended <- a.Run(ctx) }(f.runEnded)
	select {
	case <-a.Ready():
		return true
	case err := <-f.runEnded:
		assert.ErrorContains(f.t, err, "address already in use")
		return false
	}
}

// stopAgent kills the agent.
func (f *fixture) stopAgent() {
	f.agent.Kill()
	f.stop()
}

// addModel adds a complete model to the agent without a transfer.
func (f *fixture) addModel(version string) core.ModelRef {
	f.t.Helper()
	files := fstest.MapFS{"w.bin": {Data: []byte(strings.Repeat(version, 5000))}}
	m, err := weights.Build("letters", version, files, testChunkBytes)
	assert.NilError(f.t, err)
	set := weights.NewSet(m)
	data := files["w.bin"].Data
	for i := range m.Chunks {
		assert.NilError(f.t, set.Put(i, data[i*testChunkBytes:min(len(data), (i+1)*testChunkBytes)]))
	}
	f.agent.swarmNode.Add(set)
	return m.Ref()
}

func (f *fixture) order(fence uint64, req *wire.OrderRequest) *wire.OrderResponse {
	f.t.Helper()
	req.Fence = fence
	response := &wire.OrderResponse{}
	assert.NilError(f.t, f.session.Request(f.t.Context(), &wire.StreamHeader{Request: &wire.StreamHeader_Order{Order: req}}, response))
	return response
}

func serveOrder(m core.ModelRef) *wire.OrderRequest {
	return &wire.OrderRequest{Order: &wire.OrderRequest_Serve{Serve: &wire.ServeOrder{Model: wire.ModelRefToProto(m)}}}
}

// waitForStatus polls the agent's status until the condition holds.
func (f *fixture) waitForStatus(condition func(*wire.AgentStatus) bool) {
	f.t.Helper()
	for {
		status := &wire.AgentStatus{}
		header := &wire.StreamHeader{Request: &wire.StreamHeader_Status{Status: &wire.StatusRequest{}}}
		assert.NilError(f.t, f.session.Request(f.t.Context(), header, status))
		if condition(status) {
			return
		}
	}
}

func (f *fixture) serveModel(m core.ModelRef) {
	f.t.Helper()
	assert.Assert(f.t, f.order(1, serveOrder(m)).GetAccepted())
	f.waitForStatus(func(s *wire.AgentStatus) bool { return !s.GetSwapping() && wire.ModelRefFromProto(s.GetServing()) == m })
}

// startCall opens the stream of a call.
func (f *fixture) startCall(m core.ModelRef, rank core.Rank, prompt string, tokens uint32) *wire.Stream {
	f.t.Helper()
	stream, err := f.session.OpenStream(&wire.StreamHeader{Request: &wire.StreamHeader_Call{Call: &wire.CallRequest{
		Attempt: "a-" + prompt, Rank: uint32(rank), Organisation: "o", Model: m.Model, Version: m.Version,
		Manifest: m.Manifest[:], Prompt: prompt, MaxTokens: tokens, Idempotent: true, DeadlineMs: 60000,
	}}})
	assert.NilError(f.t, err)
	return stream
}

// readToEnd reads a call's events, checks every token and returns the final
// event.
func (f *fixture) readToEnd(stream *wire.Stream, prompt, version string) *wire.CallEvent {
	f.t.Helper()
	return f.readFromToken(0, stream, prompt, version)
}

// readFromToken is readToEnd for a call whose tokens before next were read.
func (f *fixture) readFromToken(nextIndex uint32, stream *wire.Stream, prompt, version string) *wire.CallEvent {
	f.t.Helper()
	for {
		e := &wire.CallEvent{}
		assert.NilError(f.t, stream.Recv(e))
		if e.GetToken() == nil {
			return e
		}
		assert.Equal(f.t, e.GetToken().GetIndex(), nextIndex)
		assert.Equal(f.t, e.GetToken().GetText(), fakes.TokenText(prompt, version, int(nextIndex)))
		nextIndex++
	}
}

func TestCallCompletesOnceModelIsServed(t *testing.T) {
	f := newFixture(t, 2, 0)
	m := f.addModel("v1")
	refused := f.readToEnd(f.startCall(m, core.RankUrgent, "before", 4), "before", "v1")
	assert.Equal(t, refused.GetRefused().GetRun(), wire.Run_RUN_NOT_RUN)
	assert.Equal(t, f.engine.PromptStarts("before"), 0)
	f.serveModel(m)
	finalEvent := f.readToEnd(f.startCall(m, core.RankUrgent, "p", 20), "p", "v1")
	assert.Equal(t, finalEvent.GetDone().GetTokens(), uint32(20))
}

func TestCallForOtherVersionIsRefusedWithoutRunning(t *testing.T) {
	f := newFixture(t, 2, 0)
	m := f.addModel("v1")
	f.serveModel(m)
	m.Version = "v0"
	finalEvent := f.readToEnd(f.startCall(m, core.RankUrgent, "p", 4), "p", "v0")
	assert.Equal(t, finalEvent.GetRefused().GetCode(), CodeWrongModel)
	assert.Equal(t, f.engine.PromptStarts("p"), 0)
}

func TestOrderWithStaleFenceIsRefused(t *testing.T) {
	f := newFixture(t, 2, 0)
	m := f.addModel("v1")
	f.serveModel(m)
	assert.Assert(t, f.order(5, serveOrder(m)).GetAccepted())
	response := f.order(4, serveOrder(m))
	assert.Equal(t, response.GetCode(), CodeStaleFence)
	assert.Equal(t, response.GetHighestFence(), uint64(5))
}

// The agent restarts while the engine runs on, and an executor that was paused sends an
// order of its lost lease. It must not drain the engine's calls for it.
func TestStaleFenceIsRefusedAfterAgentRestart(t *testing.T) {
	f := newFixture(t, 2, 0)
	m := f.addModel("v1")
	assert.Assert(t, f.order(5, serveOrder(m)).GetAccepted())
	f.waitForStatus(func(s *wire.AgentStatus) bool { return !s.GetSwapping() && wire.ModelRefFromProto(s.GetServing()) == m })
	f.stopAgent()
	f.startAgent()
	f.waitForStatus(func(s *wire.AgentStatus) bool { return wire.ModelRefFromProto(s.GetServing()) == m })
	drain := &wire.OrderRequest{Order: &wire.OrderRequest_Drain{Drain: &wire.DrainOrder{StreamGraceMs: 1000}}}
	assert.Equal(t, f.order(4, drain).GetCode(), CodeStaleFence)
}

func TestPreemptedCallResumesAndBothCallsComplete(t *testing.T) {
	f := newFixture(t, 1, 5*time.Millisecond)
	m := f.addModel("v1")
	f.serveModel(m)
	slow := f.startCall(m, core.RankBackground, "slow", 60)
	firstEvent := &wire.CallEvent{}
	assert.NilError(t, slow.Recv(firstEvent))
	assert.Equal(t, firstEvent.GetToken().GetText(), fakes.TokenText("slow", "v1", 0))
	fast := f.readToEnd(f.startCall(m, core.RankUrgent, "fast", 3), "fast", "v1")
	assert.Equal(t, fast.GetDone().GetTokens(), uint32(3), "%v", fast)
	nextIndex := uint32(1)
	for {
		e := &wire.CallEvent{}
		assert.NilError(t, slow.Recv(e))
		if e.GetToken() == nil {
			assert.Equal(t, e.GetDone().GetTokens(), uint32(60))
			break
		}
		assert.Equal(t, e.GetToken().GetIndex(), nextIndex)
		nextIndex++
	}
	assert.Assert(t, f.engine.AttemptStarts("a-slow") >= 2)
	// The preempted attempt is cancelled at the engine before its connection is
	// closed.
	assert.Equal(t, f.engine.Counts().Abandoned, uint64(0))
	assert.Assert(t, f.engine.Counts().Cancelled >= 1)
}

func TestSwapWaitsForRunningCall(t *testing.T) {
	f := newFixture(t, 2, 2*time.Millisecond)
	m1, m2 := f.addModel("v1"), f.addModel("v2")
	f.serveModel(m1)
	stream := f.startCall(m1, core.RankNormal, "p", 50)
	assert.NilError(t, stream.Recv(&wire.CallEvent{}))
	assert.Assert(t, f.order(2, serveOrder(m2)).GetAccepted())
	for {
		e := &wire.CallEvent{}
		assert.NilError(t, stream.Recv(e))
		if e.GetToken() == nil {
			assert.Equal(t, e.GetDone().GetModelVersion(), "v1")
			break
		}
	}
	f.waitForStatus(func(s *wire.AgentStatus) bool { return wire.ModelRefFromProto(s.GetServing()) == m2 })
	counts := f.engine.Counts()
	assert.Equal(t, counts.EndedByLoad, uint64(0))
	assert.Equal(t, counts.MixedWeights, uint64(0))
}

func TestWeightsAreReloadedAfterEngineCrash(t *testing.T) {
	f := newFixture(t, 2, 5*time.Millisecond)
	m := f.addModel("v1")
	f.serveModel(m)
	stream := f.startCall(m, core.RankNormal, "p", 1000)
	assert.NilError(t, stream.Recv(&wire.CallEvent{}))
	f.engine.Crash()
	for {
		e := &wire.CallEvent{}
		assert.NilError(t, stream.Recv(e))
		if e.GetToken() == nil {
			assert.Equal(t, e.GetBroken().GetCode(), CodeCrash)
			break
		}
	}
	for f.engine.Counts().Loads < 2 || f.engine.Serving() != m {
		f.waitForStatus(func(*wire.AgentStatus) bool { return true })
	}
	f.waitForStatus(func(s *wire.AgentStatus) bool { return !s.GetSwapping() && wire.ModelRefFromProto(s.GetServing()) == m })
}

func TestLeavingAgentCompletesRunningCall(t *testing.T) {
	f := newFixture(t, 2, 2*time.Millisecond)
	m := f.addModel("v1")
	f.serveModel(m)
	stream := f.startCall(m, core.RankNormal, "p", 40)
	assert.NilError(t, stream.Recv(&wire.CallEvent{}))
	f.stop()
	for {
		e := &wire.CallEvent{}
		assert.NilError(t, stream.Recv(e))
		if e.GetToken() == nil {
			assert.Equal(t, e.GetDone().GetTokens(), uint32(40))
			break
		}
	}
	assert.NilError(t, <-f.runEnded)
	assert.Equal(t, f.engine.Counts().Abandoned, uint64(0))
}

func TestLeavingAgentSendsEveryFinalEvent(t *testing.T) {
	const calls = 8
	f := newFixture(t, calls, time.Millisecond)
	m := f.addModel("v1")
	f.serveModel(m)
	streams := make(map[string]*wire.Stream)
	for _, prompt := range strings.Split("abcdefgh", "") {
		stream := f.startCall(m, core.RankNormal, prompt, 30)
		assert.NilError(t, stream.Recv(&wire.CallEvent{})) // The first token.
		streams[prompt] = stream
	}
	f.stop()
	for prompt, stream := range streams {
		finalEvent := f.readFromToken(1, stream, prompt, "v1")
		assert.Equal(t, finalEvent.GetDone().GetTokens(), uint32(30))
		assert.NilError(t, stream.Close())
	}
	assert.NilError(t, <-f.runEnded)
}

// TestDrainingAgentAcceptsContinuations sends the rest of a broken answer to an
// agent that drains for another version. The agent must complete it, because
// there may be no other endpoint that still serves the old version, but refuse
// new calls.
func TestDrainingAgentAcceptsContinuations(t *testing.T) {
	f := newFixture(t, 2, 2*time.Millisecond)
	m1, m2 := f.addModel("v1"), f.addModel("v2")
	f.serveModel(m1)
	running := f.startCall(m1, core.RankNormal, "long", 100)
	assert.NilError(t, running.Recv(&wire.CallEvent{}))
	assert.Assert(t, f.order(2, serveOrder(m2)).GetAccepted())
	f.waitForStatus(func(s *wire.AgentStatus) bool { return s.GetSwapping() })
	var newCallEvent *wire.CallEvent
	for i := 0; newCallEvent == nil || newCallEvent.GetRefused() == nil; i++ {
		prompt := fmt.Sprintf("fresh-%d", i)
		newCallEvent = f.readToEnd(f.startCall(m1, core.RankNormal, prompt, 1), prompt, "v1")
	}
	assert.Equal(t, newCallEvent.GetRefused().GetCode(), CodeDraining)
	continuation, err := f.session.OpenStream(&wire.StreamHeader{Request: &wire.StreamHeader_Call{Call: &wire.CallRequest{
		Attempt: "rest", Organisation: "o", Model: m1.Model, Version: m1.Version, Manifest: m1.Manifest[:],
		Prompt: "p", MaxTokens: 3, PrefixTokens: []string{"a", "b"}, Idempotent: true, DeadlineMs: 60000,
	}}})
	assert.NilError(t, err)
	event := &wire.CallEvent{}
	assert.NilError(t, continuation.Recv(event))
	assert.Equal(t, event.GetToken().GetText(), fakes.TokenText("p", "v1", 2))
	assert.NilError(t, continuation.Recv(event))
	assert.Equal(t, event.GetDone().GetTokens(), uint32(3))
	for e := (&wire.CallEvent{}); e.GetDone() == nil; {
		assert.NilError(t, running.Recv(e))
	}
	f.waitForStatus(func(s *wire.AgentStatus) bool { return wire.ModelRefFromProto(s.GetServing()) == m2 })
	assert.Equal(t, f.engine.Counts().EndedByLoad, uint64(0))
}

// TestEngineRestartDuringDrainRestagesChunks crashes the engine after the chunks
// of the next version were staged. The engine loses them, and must not load a
// partial model.
func TestEngineRestartDuringDrainRestagesChunks(t *testing.T) {
	f := newFixture(t, 2, 2*time.Millisecond)
	m1, m2 := f.addModel("v1"), f.addModel("v2")
	f.serveModel(m1)
	stream := f.startCall(m1, core.RankNormal, "long", 1000)
	assert.NilError(t, stream.Recv(&wire.CallEvent{}))
	assert.Assert(t, f.order(2, serveOrder(m2)).GetAccepted())
	for staged := 0; staged < f.agent.weightManager.chunkCount(m2.Manifest); {
		status, err := f.agent.deps.Engine.Status(t.Context())
		assert.NilError(t, err)
		staged = status.StagedChunks(m2.Manifest)
	}
	f.engine.Crash()
	for f.engine.Serving() != m2 {
		if f.engine.Counts().MixedWeights > 0 {
			break
		}
		f.order(2, serveOrder(m2))
	}
	assert.Equal(t, f.engine.Counts().MixedWeights, uint64(0))
}
