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

const testChunk = 4096 // Bytes.

// rig is one agent beside a stand-in engine, with a session as an entry has.
type rig struct {
	t       *testing.T
	agent   *Agent
	engine  *fakes.Engine
	session *wire.Session
	stop    context.CancelFunc
	ended   chan error
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

func newRig(t *testing.T, slots int, perToken time.Duration) *rig {
	t.Helper()
	engine := fakes.NewEngine(fakes.EngineConfig{
		Slots: slots, PerToken: perToken, ChecksFencing: true, ForeignRatio: 0.2, ChunkDigests: manifestDigests,
	})
	server := httptest.NewServer(engine)
	t.Cleanup(server.Close)
	origin := backing.NewHTTPOrigin(backing.HTTPConfig{BaseURL: "http://127.0.0.1:1"})
	a, err := New(Config{
		Instance: core.Instance{
			ID: "m1", Role: core.RoleModel,
			SessionAddr: freeAddr(t, "tcp"), DatagramAddr: freeAddr(t, "udp"), ChunkAddr: freeAddr(t, "tcp"),
		},
		FleetKey: testKey, Slots: slots, ChecksFencing: true,
	}, Deps{Origin: origin, Store: origin, Engine: endpoint.NewHTTPEngine(endpoint.HTTPConfig{BaseURL: server.URL, Timeout: 10 * time.Second})})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	r := &rig{t: t, agent: a, engine: engine, stop: cancel, ended: make(chan error, 1)}
	go func() { r.ended <- a.Run(ctx) }()
	t.Cleanup(func() {
		a.Kill()
		cancel()
	})
	<-a.Ready()
	r.session, err = wire.Dial(t.Context(), (&net.Dialer{}).DialContext, a.cfg.Instance.SessionAddr,
		wire.Identity{Instance: "e1", Key: testKey}, func(context.Context, *wire.Session, *wire.Stream, *wire.StreamHeader) {})
	assert.NilError(t, err)
	return r
}

// hold gives the agent a whole model without a transfer.
func (r *rig) hold(version string) core.ModelRef {
	r.t.Helper()
	files := fstest.MapFS{"w.bin": {Data: []byte(strings.Repeat(version, 5000))}}
	m, err := weights.Build("letters", version, files, testChunk)
	assert.NilError(r.t, err)
	set := weights.NewSet(m)
	data := files["w.bin"].Data
	for i := range m.Chunks {
		assert.NilError(r.t, set.Put(i, data[i*testChunk:min(len(data), (i+1)*testChunk)]))
	}
	r.agent.node.Add(set)
	return m.Ref()
}

func (r *rig) order(fence uint64, o *wire.OrderRequest) *wire.OrderResponse {
	r.t.Helper()
	o.Fence = fence
	answer := &wire.OrderResponse{}
	assert.NilError(r.t, r.session.Ask(r.t.Context(), &wire.StreamHeader{Request: &wire.StreamHeader_Order{Order: o}}, answer))
	return answer
}

func serveOrder(m core.ModelRef) *wire.OrderRequest {
	return &wire.OrderRequest{Order: &wire.OrderRequest_Serve{Serve: &wire.ServeOrder{Model: wire.FromModelRef(m)}}}
}

// await polls the agent's status until it holds.
func (r *rig) await(holds func(*wire.AgentStatus) bool) {
	r.t.Helper()
	for {
		status := &wire.AgentStatus{}
		h := &wire.StreamHeader{Request: &wire.StreamHeader_Status{Status: &wire.StatusRequest{}}}
		assert.NilError(r.t, r.session.Ask(r.t.Context(), h, status))
		if holds(status) {
			return
		}
	}
}

func (r *rig) serve(m core.ModelRef) {
	r.t.Helper()
	assert.Assert(r.t, r.order(1, serveOrder(m)).GetAccepted())
	r.await(func(s *wire.AgentStatus) bool { return !s.GetSwapping() && wire.ToModelRef(s.GetServing()) == m })
}

// call starts a call and returns its stream.
func (r *rig) call(m core.ModelRef, rank core.Rank, prompt string, tokens uint32) *wire.Stream {
	r.t.Helper()
	st, err := r.session.Open(&wire.StreamHeader{Request: &wire.StreamHeader_Call{Call: &wire.CallRequest{
		Attempt: "a-" + prompt, Rank: uint32(rank), Organisation: "o", Model: m.Model, Version: m.Version,
		Manifest: m.Manifest[:], Prompt: prompt, MaxTokens: tokens, Idempotent: true, DeadlineMs: 60000,
	}}})
	assert.NilError(r.t, err)
	return st
}

// read reads a call to its end and checks every token.
func (r *rig) read(st *wire.Stream, prompt, version string) *wire.CallEvent {
	r.t.Helper()
	return r.readFrom(0, st, prompt, version)
}

// readFrom reads a call whose tokens before next were read.
func (r *rig) readFrom(next uint32, st *wire.Stream, prompt, version string) *wire.CallEvent {
	r.t.Helper()
	for {
		e := &wire.CallEvent{}
		assert.NilError(r.t, st.Recv(e))
		if e.GetToken() == nil {
			return e
		}
		assert.Equal(r.t, e.GetToken().GetIndex(), next)
		assert.Equal(r.t, e.GetToken().GetText(), fakes.TokenText(prompt, version, int(next)))
		next++
	}
}

func TestCallGetsItsOwnWholeAnswer(t *testing.T) {
	r := newRig(t, 2, 0)
	m := r.hold("v1")
	refused := r.read(r.call(m, core.RankUrgent, "before", 4), "before", "v1")
	assert.Equal(t, refused.GetRefused().GetRun(), wire.Run_RUN_NOT_RUN)
	assert.Equal(t, r.engine.Begun("before"), 0)
	r.serve(m)
	end := r.read(r.call(m, core.RankUrgent, "p", 20), "p", "v1")
	assert.Equal(t, end.GetDone().GetTokens(), uint32(20))
}

func TestOtherVersionIsRefusedNotRun(t *testing.T) {
	r := newRig(t, 2, 0)
	m := r.hold("v1")
	r.serve(m)
	m.Version = "v0"
	end := r.read(r.call(m, core.RankUrgent, "p", 4), "p", "v0")
	assert.Equal(t, end.GetRefused().GetCode(), CodeWrongModel)
	assert.Equal(t, r.engine.Begun("p"), 0)
}

func TestOldFenceIsRefused(t *testing.T) {
	r := newRig(t, 2, 0)
	m := r.hold("v1")
	r.serve(m)
	assert.Assert(t, r.order(5, serveOrder(m)).GetAccepted())
	answer := r.order(4, serveOrder(m))
	assert.Equal(t, answer.GetCode(), CodeStaleFence)
	assert.Equal(t, answer.GetHighestFence(), uint64(5))
}

func TestUrgentCallPreemptsAndBothEndWhole(t *testing.T) {
	r := newRig(t, 1, 5*time.Millisecond)
	m := r.hold("v1")
	r.serve(m)
	slow := r.call(m, core.RankBackground, "slow", 60)
	first := &wire.CallEvent{}
	assert.NilError(t, slow.Recv(first))
	assert.Equal(t, first.GetToken().GetText(), fakes.TokenText("slow", "v1", 0))
	fast := r.read(r.call(m, core.RankUrgent, "fast", 3), "fast", "v1")
	assert.Equal(t, fast.GetDone().GetTokens(), uint32(3))
	next := uint32(1)
	for {
		e := &wire.CallEvent{}
		assert.NilError(t, slow.Recv(e))
		if e.GetToken() == nil {
			assert.Equal(t, e.GetDone().GetTokens(), uint32(60))
			break
		}
		assert.Equal(t, e.GetToken().GetIndex(), next)
		next++
	}
	assert.Assert(t, r.engine.BegunAttempt("a-slow") >= 2)
	// The engine was told; it saw no caller vanish.
	assert.Equal(t, r.engine.Counts().Abandoned, uint64(0))
	assert.Assert(t, r.engine.Counts().Cancelled >= 1)
}

func TestSwapLetsRunningCallEnd(t *testing.T) {
	r := newRig(t, 2, 2*time.Millisecond)
	m1, m2 := r.hold("v1"), r.hold("v2")
	r.serve(m1)
	st := r.call(m1, core.RankNormal, "p", 50)
	assert.NilError(t, st.Recv(&wire.CallEvent{}))
	assert.Assert(t, r.order(2, serveOrder(m2)).GetAccepted())
	for {
		e := &wire.CallEvent{}
		assert.NilError(t, st.Recv(e))
		if e.GetToken() == nil {
			assert.Equal(t, e.GetDone().GetModelVersion(), "v1")
			break
		}
	}
	r.await(func(s *wire.AgentStatus) bool { return wire.ToModelRef(s.GetServing()) == m2 })
	counts := r.engine.Counts()
	assert.Equal(t, counts.CutBySwap, uint64(0))
	assert.Equal(t, counts.MixedWeights, uint64(0))
}

func TestCrashedEngineGetsItsWeightsBack(t *testing.T) {
	r := newRig(t, 2, 5*time.Millisecond)
	m := r.hold("v1")
	r.serve(m)
	st := r.call(m, core.RankNormal, "p", 1000)
	assert.NilError(t, st.Recv(&wire.CallEvent{}))
	r.engine.Crash()
	for {
		e := &wire.CallEvent{}
		assert.NilError(t, st.Recv(e))
		if e.GetToken() == nil {
			assert.Equal(t, e.GetBroken().GetCode(), CodeCrash)
			break
		}
	}
	for r.engine.Counts().Loads < 2 || r.engine.Serving() != m {
		r.await(func(*wire.AgentStatus) bool { return true })
	}
	r.await(func(s *wire.AgentStatus) bool { return !s.GetSwapping() && wire.ToModelRef(s.GetServing()) == m })
}

func TestLeavingCutsNoCall(t *testing.T) {
	r := newRig(t, 2, 2*time.Millisecond)
	m := r.hold("v1")
	r.serve(m)
	st := r.call(m, core.RankNormal, "p", 40)
	assert.NilError(t, st.Recv(&wire.CallEvent{}))
	r.stop()
	for {
		e := &wire.CallEvent{}
		assert.NilError(t, st.Recv(e))
		if e.GetToken() == nil {
			assert.Equal(t, e.GetDone().GetTokens(), uint32(40))
			break
		}
	}
	assert.NilError(t, <-r.ended)
	assert.Equal(t, r.engine.Counts().Abandoned, uint64(0))
}

func TestLeavingAgentSendsEveryFinalEvent(t *testing.T) {
	const calls = 8
	r := newRig(t, calls, time.Millisecond)
	m := r.hold("v1")
	r.serve(m)
	streams := make(map[string]*wire.Stream)
	for _, prompt := range strings.Split("abcdefgh", "") {
		st := r.call(m, core.RankNormal, prompt, 30)
		assert.NilError(t, st.Recv(&wire.CallEvent{})) // The first token.
		streams[prompt] = st
	}
	r.stop()
	for prompt, st := range streams {
		end := r.readFrom(1, st, prompt, "v1")
		assert.Equal(t, end.GetDone().GetTokens(), uint32(30))
		assert.NilError(t, st.Close())
	}
	assert.NilError(t, <-r.ended)
}

// TestDrainingAgentEndsAnswersThatOthersBegan sends the rest of a broken
// answer to an agent that drains for another version.
func TestDrainingAgentEndsAnswersThatOthersBegan(t *testing.T) {
	r := newRig(t, 2, 2*time.Millisecond)
	m1, m2 := r.hold("v1"), r.hold("v2")
	r.serve(m1)
	running := r.call(m1, core.RankNormal, "long", 100)
	assert.NilError(t, running.Recv(&wire.CallEvent{}))
	assert.Assert(t, r.order(2, serveOrder(m2)).GetAccepted())
	r.await(func(s *wire.AgentStatus) bool { return s.GetSwapping() })
	var fresh *wire.CallEvent
	for i := 0; fresh == nil || fresh.GetRefused() == nil; i++ {
		prompt := fmt.Sprintf("fresh-%d", i)
		fresh = r.read(r.call(m1, core.RankNormal, prompt, 1), prompt, "v1")
	}
	assert.Equal(t, fresh.GetRefused().GetCode(), CodeDraining)
	st, err := r.session.Open(&wire.StreamHeader{Request: &wire.StreamHeader_Call{Call: &wire.CallRequest{
		Attempt: "rest", Organisation: "o", Model: m1.Model, Version: m1.Version, Manifest: m1.Manifest[:],
		Prompt: "p", MaxTokens: 3, PrefixTokens: []string{"a", "b"}, Idempotent: true, DeadlineMs: 60000,
	}}})
	assert.NilError(t, err)
	rest := &wire.CallEvent{}
	assert.NilError(t, st.Recv(rest))
	assert.Equal(t, rest.GetToken().GetText(), fakes.TokenText("p", "v1", 2))
	assert.NilError(t, st.Recv(rest))
	assert.Equal(t, rest.GetDone().GetTokens(), uint32(3))
	for e := (&wire.CallEvent{}); e.GetDone() == nil; {
		assert.NilError(t, running.Recv(e))
	}
	r.await(func(s *wire.AgentStatus) bool { return wire.ToModelRef(s.GetServing()) == m2 })
	assert.Equal(t, r.engine.Counts().CutBySwap, uint64(0))
}

// TestEngineThatRestartsDuringADrainLoadsAWholeModel crashes the engine after
// the chunks of the next version were staged.
func TestEngineThatRestartsDuringADrainLoadsAWholeModel(t *testing.T) {
	r := newRig(t, 2, 2*time.Millisecond)
	m1, m2 := r.hold("v1"), r.hold("v2")
	r.serve(m1)
	st := r.call(m1, core.RankNormal, "long", 1000)
	assert.NilError(t, st.Recv(&wire.CallEvent{}))
	assert.Assert(t, r.order(2, serveOrder(m2)).GetAccepted())
	for staged := 0; staged < r.agent.weights.chunks(m2.Manifest); {
		status, err := r.agent.deps.Engine.Status(t.Context())
		assert.NilError(t, err)
		staged = status.StagedChunks(m2.Manifest)
	}
	r.engine.Crash()
	for r.engine.Serving() != m2 {
		if r.engine.Counts().MixedWeights > 0 {
			break
		}
		r.order(2, serveOrder(m2))
	}
	assert.Equal(t, r.engine.Counts().MixedWeights, uint64(0))
}
