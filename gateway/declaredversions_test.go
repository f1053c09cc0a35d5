package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/gateway"
	"github.com/snipestep/snipestep/internal/bootclock"
	"github.com/snipestep/snipestep/internal/versiontest"
	"github.com/snipestep/snipestep/sidecar"
	"github.com/snipestep/snipestep/weights"
)

const (
	// pairVersionBound is longer than a test, so that no version becomes mandatory
	// while it runs.
	pairVersionBound = time.Minute
	// pairPatience is how long a test waits for an event.
	pairPatience = 10 * time.Second
	// pairTimeLeft is how long a caller waits.
	pairTimeLeft = 200 * time.Millisecond
	pairModel    = "m"
	pairService  = "lm"
)

// pair is an entry and the agent of an engine that has version 1 loaded, with
// datagrams between them on loopback addresses.
type pair struct {
	entryDirectory *directory.Directory
	agentDirectory *directory.Directory
	entryURL       string
	runs           atomic.Int64 // Requests that the engine ran.
}

// newPair returns a pair whose processes do not run yet, so that their directories can
// be filled first. start runs them until the test ends.
func newPair(t *testing.T) (p *pair, start func()) {
	t.Helper()
	logger := slog.New(slog.DiscardHandler)
	p = &pair{entryDirectory: directory.New(logger), agentDirectory: directory.New(logger)}
	engineListener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.2:0")
	assert.NilError(t, err)
	engine := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.runs.Add(1)
		w.Header().Set("Id", r.Header.Get("Id"))
		_, _ = io.WriteString(w, "response")
	}))
	_ = engine.Listener.Close()
	engine.Listener = engineListener
	engine.Start()
	t.Cleanup(engine.Close)

	document := &directory.Document{Version: 1, Services: map[string]*directory.Service{
		pairService: {Name: pairService, Model: pairModel, Engine: &directory.Engine{Slots: 4, Layers: 1, PrefillTokensPerSecond: 1000}},
	}}
	document.SetRoutes([]*directory.Route{{
		Name: "once", Host: "h.example", Prefix: "/once/", Kind: directory.NonIdempotent, Public: true, Timeout: time.Minute,
		LatencyTarget: time.Minute, MaxRuns: 1, Backends: []directory.Backend{{Service: pairService, Weight: 1}},
	}})
	for _, d := range []*directory.Directory{p.entryDirectory, p.agentDirectory} {
		d.SetDocument(document)
		d.PutEndpoint(&directory.Endpoint{ID: "i", Service: pairService, Address: engineListener.Addr().String(), FailureDomain: "d", Region: "r", Slots: 4, LoadedVersion: 1})
	}

	datagramPort := freePort(t)
	entry := gateway.New(gateway.Config{
		Region: "r", RetryRatio: 1, RetryBurst: 1000, VersionBound: pairVersionBound, DatagramAddr: fmt.Sprint("127.0.0.1:", datagramPort), FleetKey: make([]byte, 16),
	}, gateway.Deps{Directory: p.entryDirectory, HeaderCodec: pairCodec{}, Transport: &http.Transport{}, Now: bootclock.Now, Logger: logger, Scope: tally.NoopScope})
	agent, err := sidecar.New(sidecar.Config{
		Service: pairService, EngineAddr: engineListener.Addr().String(), VersionBound: pairVersionBound, LinkBytesPerSecond: 1e6,
		DatagramAddr: fmt.Sprint("127.0.0.2:", datagramPort), ChunkAddr: fmt.Sprint("127.0.0.2:", freePort(t)),
		FleetKey: make([]byte, 16), Location: core.Location{Region: "r"}, Regions: map[string]string{"d": "r"},
	}, sidecar.Deps{Directory: p.agentDirectory, Engine: versionOneEngine{}, Origin: unavailableOrigin{}, Now: bootclock.Now, Logger: logger, Scope: tally.NoopScope})
	assert.NilError(t, err)
	entryServer := httptest.NewServer(entry)
	t.Cleanup(entryServer.Close)
	p.entryURL = entryServer.URL

	return p, func() {
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 2)
		go func() { done <- agent.Run(ctx) }()
		go func() { done <- entry.Run(ctx) }()
		t.Cleanup(func() {
			stop()
			assert.NilError(t, errors.Join(<-done, <-done))
		})
	}
}

// freePort returns a UDP port that is free at the addresses of both processes.
func freePort(t *testing.T) int {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 2)})
	assert.NilError(t, err)
	defer conn.Close()
	return conn.LocalAddr().(*net.UDPAddr).Port
}

// send sends a request and returns the status of the response.
func (p *pair) send(t *testing.T) int {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, p.entryURL+"/once/", strings.NewReader("body"))
	assert.NilError(t, err)
	request.Host = "h.example"
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	return response.StatusCode
}

// eventually reports whether a condition becomes true within pairPatience.
func eventually(condition func() bool) bool {
	for deadline := time.Now().Add(pairPatience); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// versionOneEngine is an idle engine that has version 1 loaded.
type versionOneEngine struct{}

func (versionOneEngine) State(context.Context, int) (sidecar.EngineState, error) {
	return sidecar.EngineState{LoadedVersion: 1, Slowdown: 1}, nil
}
func (versionOneEngine) Stage(context.Context, string, int, []byte) error { return nil }
func (versionOneEngine) ReadStaged(context.Context, string, int) ([]byte, error) {
	return nil, sidecar.ErrNotStaged
}
func (versionOneEngine) Load(context.Context, string, uint64, uint64) error { return nil }

// unavailableOrigin is an origin of weights that does not answer.
type unavailableOrigin struct{}

func (unavailableOrigin) Chunk(context.Context, core.Digest, int) ([]byte, error) {
	return nil, sidecar.ErrNoWeightStore
}

func (unavailableOrigin) Manifest(context.Context, string, uint64) (*weights.Manifest, error) {
	return nil, sidecar.ErrNoWeightStore
}

// pairCodec knows no metadata but the request's ID.
type pairCodec struct{}

func (pairCodec) ReadRequest(http.Header) (gateway.RequestMetadata, error) {
	return gateway.RequestMetadata{ID: "42", TimeLeft: pairTimeLeft}, nil
}

func (pairCodec) Forward(caller http.Header, _ gateway.ForwardMetadata) http.Header {
	h := caller.Clone()
	h.Set("Id", "42")
	return h
}

func (pairCodec) ReadResponse(_ int, h http.Header) gateway.ResponseMetadata {
	return gateway.ResponseMetadata{ID: h.Get("Id")}
}

// Guards against requests that run on version 1 although version 2 became mandatory,
// at an entry that started after version 3 had superseded version 2.
func TestEntryStartedAfterANewerVersionEnforcesTheSupersededOne(t *testing.T) {
	p, start := newPair(t)
	now := bootclock.Now()
	p.agentDirectory.SetDeclaration(pairModel, versiontest.Declared(2, now.Add(-pairVersionBound-10*time.Second)))
	p.agentDirectory.SetDeclaration(pairModel, versiontest.Declared(3, now.Add(-time.Second)))
	p.entryDirectory.SetInitialVersion(now, pairModel, 3, 0)
	start()
	assert.Assert(t, eventually(func() bool { return !p.entryDirectory.View().DeclaredVersion(pairModel).NotBefore.IsZero() }), "no report arrived")
	assert.Assert(t, eventually(func() bool { return p.send(t) == http.StatusServiceUnavailable }), "requests still begin on version 1")
	runs := p.runs.Load()
	assert.Equal(t, p.send(t), http.StatusServiceUnavailable)
	assert.Equal(t, p.runs.Load(), runs)
}

// Guards against refusals of requests that may still begin on version 1, at an entry
// that started after version 3 had superseded version 2.
func TestEntryStartedAfterANewerVersionAllowsOlderOnesWithinTheirBound(t *testing.T) {
	p, start := newPair(t)
	now := bootclock.Now()
	p.agentDirectory.SetDeclaration(pairModel, versiontest.Declared(2, now.Add(-5*time.Second)))
	p.agentDirectory.SetDeclaration(pairModel, versiontest.Declared(3, now.Add(-time.Second)))
	p.entryDirectory.SetInitialVersion(now, pairModel, 3, 0)
	start()
	assert.Assert(t, eventually(func() bool { return !p.entryDirectory.View().DeclaredVersion(pairModel).NotBefore.IsZero() }), "no report arrived")
	assert.Equal(t, p.send(t), http.StatusOK)
}

// Guards against the loss of a declaration's age when all agents that saw it have
// restarted: entries that saw it pass it on.
func TestRestartedAgentLearnsDeclarationTimesFromEntries(t *testing.T) {
	p, start := newPair(t)
	now := bootclock.Now()
	p.entryDirectory.SetDeclaration(pairModel, versiontest.Declared(2, now.Add(-9*time.Second)))
	p.entryDirectory.SetDeclaration(pairModel, versiontest.Declared(3, now.Add(-5*time.Second)))
	p.agentDirectory.SetInitialVersion(now, pairModel, 3, 0)
	start()
	learnt := func() bool {
		declared := p.agentDirectory.View().DeclaredVersion(pairModel)
		return !declared.NotBefore.IsZero() && declared.NotAfter.Before(now.Add(-4*time.Second))
	}
	assert.Assert(t, eventually(learnt), "the agent still estimates the age of version 3")
}
