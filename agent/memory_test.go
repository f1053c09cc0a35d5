package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/endpoint"
	"github.com/snipestep/snipestep/internal/heldbytes"
	"github.com/snipestep/snipestep/internal/httpcall"
	"github.com/snipestep/snipestep/routing"
	"github.com/snipestep/snipestep/wire"
)

const (
	// largeCalls is the number of calls whose answers are large and have no end.
	largeCalls = 16
	// largeAnswerBytes is just below the bound of one answer of a plain service, so that the
	// bounds of single answers cut none.
	largeAnswerBytes = endpoint.MaxPlainResponseBytes - 256<<10
	// largeMaxTokens makes the bound of a stream, 1 MiB and 2 KiB a token, larger than that.
	largeMaxTokens = 4096
	// maxHeapGrowth bounds the live heap with all answers held: 32 MiB for answers, half of that
	// again for their uncounted parts, sessions and connections.
	maxHeapGrowth = 48 << 20
	largeCall     = endlessPrompt
)

// largeAnswers is an endpoint that sends large answers to some calls, and their end only after
// end is closed.
type largeAnswers struct {
	// pieces returns the answer to an attempt in pieces.
	pieces func(attempt string, index int) string
	end    chan struct{}
}

// ServeHTTP implements http.Handler.
func (l *largeAnswers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	attempt := r.Header.Get(endpoint.AttemptHeader)
	w.Header().Set(endpoint.AttemptHeader, attempt)
	if !strings.Contains(string(body), largeCall) {
		_, _ = io.WriteString(w, "ok")
		return
	}
	for sent, i := 0, 0; sent < largeAnswerBytes; i++ {
		n, err := io.WriteString(w, l.pieces(attempt, i))
		if err != nil {
			return
		}
		sent += n
	}
	_ = http.NewResponseController(w).Flush()
	select {
	case <-r.Context().Done():
	case <-l.end:
	}
}

// measuredTransport counts the bytes that a client reads of each answer.
type measuredTransport struct {
	http.RoundTripper
	mu     sync.Mutex
	bodies []*measuredBody
}

type measuredBody struct {
	io.ReadCloser
	read   atomic.Int64
	closed atomic.Bool
}

// RoundTrip implements http.RoundTripper.
func (m *measuredTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := m.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	body := &measuredBody{ReadCloser: response.Body}
	response.Body = body
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bodies = append(m.bodies, body)
	return response, nil
}

// Read implements io.Reader.
func (b *measuredBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read.Add(int64(n))
	return n, err
}

// Close implements io.Closer.
func (b *measuredBody) Close() error {
	b.closed.Store(true)
	return b.ReadCloser.Close()
}

// holding returns how many answers were read but for their end, and whether all others of that
// many calls were closed.
func (m *measuredTransport) holding(calls int) (held int, settled bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	closed := 0
	for _, body := range m.bodies {
		switch {
		case body.closed.Load():
			closed++
		case body.read.Load() >= largeAnswerBytes:
			held++
		}
	}
	return held, len(m.bodies) >= calls && held+closed == len(m.bodies)
}

// liveHeap returns the bytes that are reachable.
func liveHeap() int {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}

// startLargeAnswers starts the endpoint and returns a configuration of clients that count.
func startLargeAnswers(t *testing.T, pieces func(string, int) string) (*largeAnswers, endpoint.HTTPConfig, *measuredTransport) {
	t.Helper()
	answers := &largeAnswers{pieces: pieces, end: make(chan struct{})}
	server := httptest.NewServer(answers)
	t.Cleanup(server.Close)
	transport := &measuredTransport{RoundTripper: httpcall.NewTransport()}
	config := endpoint.HTTPConfig{BaseURL: server.URL, Client: &http.Client{Transport: transport}, Timeout: time.Minute}
	return answers, config, transport
}

// holdLargeAnswers makes the calls and checks the live heap once each answer was read or given
// up on. It returns the final events of the calls.
func holdLargeAnswers(t *testing.T, answers *largeAnswers, transport *measuredTransport, open func() *wire.Stream, ordinary func()) []*wire.CallEvent {
	t.Helper()
	before := liveHeap()
	finals := make([]*wire.CallEvent, largeCalls)
	var running sync.WaitGroup
	for i := range largeCalls {
		stream := open()
		running.Go(func() {
			for {
				event := &wire.CallEvent{}
				if stream.Recv(event) != nil {
					return
				}
				if event.GetToken() == nil {
					finals[i] = event
					_ = stream.Close()
					return
				}
			}
		})
	}
	held, settled := transport.holding(largeCalls)
	for ; !settled; held, settled = transport.holding(largeCalls) {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, held > 0)
	grown := liveHeap() - before
	assert.Check(t, grown < maxHeapGrowth, "%d MiB with %d answers held", grown>>20, held)
	ordinary()
	close(answers.end)
	running.Wait()
	return finals
}

// Guards against an agent that runs out of memory since a plain service sends large answers
// without an end, each below the bound of one answer.
func TestLargePlainAnswersStayWithinTheMemory(t *testing.T) {
	piece := strings.Repeat("x", 64<<10)
	answers, config, transport := startLargeAnswers(t, func(string, int) string { return piece })
	instance := core.Instance{ID: "p1", Role: core.RolePlain, Service: "s", SessionAddr: freeAddr(t, "tcp"), DatagramAddr: freeAddr(t, "udp")}
	a, err := New(Config{Instance: instance, FleetKey: testKey, Slots: largeCalls + 1},
		Deps{PlainService: endpoint.NewHTTPPlainService(config)})
	assert.NilError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- a.Run(context.Background()) }()
	<-a.Ready()
	t.Cleanup(func() { a.Kill(); assert.NilError(t, <-ended) })
	session, err := wire.Dial(t.Context(), (&net.Dialer{}).DialContext, instance.SessionAddr,
		wire.Identity{Instance: "e1", FleetKey: testKey}, func(context.Context, *wire.Session, *wire.Stream, *wire.StreamHeader) {})
	assert.NilError(t, err)
	open := func(body string) *wire.Stream {
		stream, err := session.OpenStream(&wire.StreamHeader{Request: &wire.StreamHeader_Call{Call: &wire.CallRequest{
			Attempt: "a-" + body, Service: "s", Operation: "o", Body: []byte(body), DeadlineMs: 60000,
		}}})
		assert.NilError(t, err)
		return stream
	}
	ordinary := func() {
		event := &wire.CallEvent{}
		assert.NilError(t, open("ordinary").Recv(event))
		assert.Equal(t, string(event.GetDone().GetBody()), "ok", "got %v", event)
	}
	for event := (&wire.CallEvent{}); event.GetDone() == nil; { // The agent opens once the service answers.
		assert.NilError(t, open("first").Recv(event))
	}
	finals := holdLargeAnswers(t, answers, transport, func() *wire.Stream { return open(largeCall) }, ordinary)
	whole := 0
	for _, event := range finals {
		if event.GetDone() != nil {
			whole++
			assert.Equal(t, len(event.GetDone().GetBody()), largeAnswerBytes)
			continue
		}
		assert.Equal(t, event.GetBroken().GetCode(), CodeNoRoom, "got %v", event)
	}
	assert.Assert(t, whole > 0 && whole < largeCalls, "%d whole answers", whole)
	ordinary()
	awaitReleased(a)
}

// awaitReleased waits until no answer is counted.
func awaitReleased(a *Agent) {
	for a.answers.Total() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// Guards against a call that counts against its endpoint or its request, or as not run, because its
// answer had to make room.
func TestAnswerWithoutRoomSaysNothingOfItsEndpoint(t *testing.T) {
	for name, fail := range map[string]func(*endpointState, *scheduler, *job, error) *wire.CallEvent{
		"engine": func(state *endpointState, sched *scheduler, j *job, err error) *wire.CallEvent {
			return (&modelRunner{state: state, sched: sched, counters: &counters{}}).failureEvent(t.Context(), j, err)
		},
		"plain service": func(state *endpointState, sched *scheduler, j *job, err error) *wire.CallEvent {
			// Without a client, a question whether the service is available would fail.
			return (&plainRunner{state: state, sched: sched, counters: &counters{}}).failureEvent(t.Context(), j, err)
		},
	} {
		t.Run(name, func(t *testing.T) {
			state := newEndpointState("a", 1)
			model := core.ModelRef{Model: "m", Version: "v1"}
			state.setServing(model)
			j := newJob(1, "", &wire.CallRequest{DeadlineMs: 1000}, time.Now())
			err := &endpoint.BrokenError{Cause: &httpcall.TransportError{MaybeSent: true, Cause: heldbytes.ErrNoRoom}}
			event := fail(state, newScheduler(routing.QueueConfig{Slots: 4, MaxWaiting: 4}, time.Now), j, err)
			assert.Equal(t, event.GetBroken().GetCode(), CodeNoRoom)
			assert.Assert(t, j.mayHaveStarted)
			assert.Equal(t, state.serving(), model)
		})
	}
}

// largeToken returns the event of a token with a long text.
func largeToken(attempt string, index int) string {
	text, _ := json.Marshal(strings.Repeat("x", 16<<10)) // A string is always encoded.
	return fmt.Sprintf(`data: {"id":%q,"version":"v1","token_index":%d,"choices":[{"text":%s,"finish_reason":null}]}`+"\n\n", attempt, index, text)
}

// Guards against an agent that runs out of memory since it keeps the text of large streams.
func TestLargeStreamsStayWithinTheMemory(t *testing.T) {
	answers, config, transport := startLargeAnswers(t, largeToken)
	large := endpoint.NewHTTPEngine(config)
	f := newFixtureWithEngine(t, largeCalls+1, 0, func(engine endpoint.Engine) endpoint.Engine {
		return partlyEndlessEngine{engine, large}
	})
	m := f.addModel("v1")
	f.serveModel(m)
	ordinary := func() {
		finalEvent := f.readToEnd(f.startCall(m, core.RankNormal, "ordinary", 20), "ordinary", "v1")
		assert.Equal(t, finalEvent.GetDone().GetTokens(), uint32(20))
	}
	finals := holdLargeAnswers(t, answers, transport, func() *wire.Stream {
		return f.startCall(m, core.RankNormal, endlessPrompt, largeMaxTokens)
	}, ordinary)
	lost := 0
	for _, event := range finals {
		if event.GetBroken().GetCode() == CodeNoRoom {
			lost++
		}
	}
	assert.Assert(t, lost > 0 && lost < largeCalls, "%d streams found no room", lost)
	awaitReleased(f.agent)
}
