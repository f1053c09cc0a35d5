package entry

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/fstest"
	"time"

	"github.com/uber-go/tally/v4"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.opentelemetry.io/otel/trace"
	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/agent"
	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/endpoint"
	"github.com/snipestep/snipestep/fleet"
	"github.com/snipestep/snipestep/intent"
	"github.com/snipestep/snipestep/internal/fakes"
	"github.com/snipestep/snipestep/operator"
	"github.com/snipestep/snipestep/telemetry"
	"github.com/snipestep/snipestep/weights"
)

const (
	testChunkBytes = 4096
	callerToken    = "caller"
	operatorToken  = "operator"
	testDeadline   = 60 * time.Second
)

var testFleetKey = []byte("0123456789abcdef")

// testFleet is a complete fleet in one process over loopback, with fakes of the
// platform and the endpoints.
type testFleet struct {
	t             testing.TB
	ctx           context.Context
	kv            *fakes.KeyValue
	instanceList  *fakes.InstanceList
	origin        *fakes.Origin
	weightStore   *fakes.WeightStore
	runCounter    *fakes.RunCounter
	engines       []*fakes.Engine
	instances     []core.Instance // Of the engines' agents.
	plainServices []*fakes.PlainService
	agents        []*agent.Agent
	entries       []*Entry
	urls          map[string]string
	programs      map[core.InstanceID]*runningProgram
	logger        *slog.Logger

	traceMu          sync.Mutex // Guards seenTraceparents.
	seenTraceparents []string   // Of the completions that engines received.
	// Metrics and spans of all entries and of all agents.
	entryScope, agentScope tally.TestScope
	spans                  *tracetest.InMemoryExporter
	tracer                 trace.Tracer
	// engineConfig and plainConfig adjust the configuration of new fakes; may be nil.
	engineConfig func(*fakes.EngineConfig)
	plainConfig  func(*fakes.PlainServiceConfig)
	callTimeout  time.Duration // Of the entries; 0 selects the default.
	answerBytes  int           // Of the entries; 0 selects the default.
	// wrapEngine and wrapPlain wrap the agents' clients of the endpoints; may be nil.
	wrapEngine func(endpoint.Engine) endpoint.Engine
	wrapPlain  func(endpoint.PlainService) endpoint.PlainService
}

func newTestFleet(t testing.TB, models, plains, entries int, options ...func(*testFleet)) *testFleet {
	t.Helper()
	if test, ok := t.(*testing.T); ok {
		test.Parallel()
	}
	return newSerialTestFleet(t, models, plains, entries, options...)
}

// newSerialTestFleet is newTestFleet for a test that runs alone.
func newSerialTestFleet(t testing.TB, models, plains, entries int, options ...func(*testFleet)) *testFleet {
	t.Helper()
	// Cleanup kills the programs before it cancels ctx, which would make them
	// shut down gracefully.
	ctx, cancel := context.WithTimeout(context.Background(), testDeadline)
	t.Cleanup(cancel)
	f := &testFleet{
		t: t, ctx: ctx,
		kv:           fakes.NewKeyValue(time.Now),
		instanceList: fakes.NewInstanceList(0, time.Now),
		origin:       fakes.NewOrigin(),
		weightStore:  fakes.NewWeightStore(0, 0, time.Now),
		runCounter:   fakes.NewRunCounter(),
		urls:         map[string]string{}, programs: map[core.InstanceID]*runningProgram{},
		logger: slog.New(slog.DiscardHandler),

		entryScope: tally.NewTestScope("", nil),
		agentScope: tally.NewTestScope("", nil),
		spans:      tracetest.NewInMemoryExporter(),
	}
	f.tracer = sdktrace.NewTracerProvider(sdktrace.WithSyncer(f.spans)).Tracer("test")
	for _, option := range options {
		option(f)
	}
	if os.Getenv("SNIPESTEP_TEST_LOG") != "" {
		f.logger = slog.New(slog.NewTextHandler(os.Stderr, nil))
	}
	for name, h := range map[string]http.Handler{"kv": f.kv, "list": f.instanceList, "origin": f.origin, "store": f.weightStore} {
		f.urls[name] = f.startServer(h)
	}
	for i := range models {
		f.addModel(i)
	}
	for i := range plains {
		f.addPlain(i)
	}
	for i := range entries {
		f.addEntry(i)
	}
	return f
}

func (f *testFleet) startServer(h http.Handler) string {
	server := httptest.NewServer(h)
	f.t.Cleanup(server.Close)
	return server.URL
}

// recordTraceparents wraps an engine to record the traceparents that it receives.
func (f *testFleet) recordTraceparents(engine http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/completions" {
			f.traceMu.Lock()
			f.seenTraceparents = append(f.seenTraceparents, r.Header.Get(telemetry.TraceparentHeader))
			f.traceMu.Unlock()
		}
		engine.ServeHTTP(w, r)
	})
}

func (f *testFleet) traceparents() []string {
	f.traceMu.Lock()
	defer f.traceMu.Unlock()
	return f.seenTraceparents
}

func (f *testFleet) instance(id string, role core.InstanceRole, i int) core.Instance {
	region := fmt.Sprintf("r%d", i%2)
	return core.Instance{
		ID: core.InstanceID(id), Role: role, State: core.StateLive,
		Location:    core.Location{Region: region, FailureDomain: region + "a"},
		SessionAddr: f.freeAddr(), DatagramAddr: f.freeAddr(),
	}
}

func (f *testFleet) addModel(i int) {
	config := fakes.EngineConfig{
		Slots: 4, TokenInterval: time.Millisecond, RestartDuration: 20 * time.Millisecond,
		ChecksFencing: i%2 == 0, AttemptMismatchRatio: 0.1, Seed: uint64(i),
		ChunkDigests: func(encoded []byte) ([]core.Digest, error) {
			m, err := weights.DecodeManifest(encoded, core.SumDigest(encoded))
			if err != nil {
				return nil, err
			}
			return m.Chunks, nil
		},
	}
	if f.engineConfig != nil {
		f.engineConfig(&config)
	}
	engine := fakes.NewEngine(config)
	instance := f.instance(fmt.Sprintf("model-%d", i), core.RoleModel, i)
	instance.ChunkAddr = f.freeAddr()
	f.engines = append(f.engines, engine)
	f.instances = append(f.instances, instance)
	var client endpoint.Engine = endpoint.NewHTTPEngine(endpoint.HTTPConfig{BaseURL: f.startServer(f.recordTraceparents(engine)), Timeout: testDeadline})
	if f.wrapEngine != nil {
		client = f.wrapEngine(client)
	}
	f.runAgent(agent.Config{Instance: instance, ChecksFencing: i%2 == 0}, agent.Deps{
		Engine: client,
		Origin: backing.NewHTTPOrigin(backing.HTTPConfig{BaseURL: f.urls["origin"]}),
		Store:  backing.NewHTTPWeightStore(backing.HTTPConfig{BaseURL: f.urls["store"]}),
	})
}

// restartAgent kills the agent of an engine and starts another one with the same
// instance. The engine runs on.
func (f *testFleet) restartAgent(engine int) {
	f.t.Helper()
	instance := f.instances[engine]
	f.agents[engine].Kill()
	<-f.programs[instance.ID].ended
	f.runAgent(agent.Config{Instance: instance, ChecksFencing: engine%2 == 0}, agent.Deps{
		Engine: endpoint.NewHTTPEngine(endpoint.HTTPConfig{BaseURL: f.startServer(f.engines[engine]), Timeout: testDeadline}),
		Origin: backing.NewHTTPOrigin(backing.HTTPConfig{BaseURL: f.urls["origin"]}),
		Store:  backing.NewHTTPWeightStore(backing.HTTPConfig{BaseURL: f.urls["store"]}),
	})
	last := len(f.agents) - 1
	f.agents[engine] = f.agents[last]
	f.agents = f.agents[:last]
}

func (f *testFleet) addPlain(i int) {
	config := fakes.PlainServiceConfig{Operations: []string{"purchase", "balance"}, Slots: 4, Seed: uint64(i)}
	if f.plainConfig != nil {
		f.plainConfig(&config)
	}
	plain := fakes.NewPlainService(config, f.runCounter)
	instance := f.instance(fmt.Sprintf("plain-%d", i), core.RolePlain, i)
	instance.Service = "counter"
	f.plainServices = append(f.plainServices, plain)
	var client endpoint.PlainService = endpoint.NewHTTPPlainService(endpoint.HTTPConfig{BaseURL: f.startServer(plain), Timeout: testDeadline})
	if f.wrapPlain != nil {
		client = f.wrapPlain(client)
	}
	f.runAgent(agent.Config{Instance: instance}, agent.Deps{PlainService: client})
}

func (f *testFleet) runAgent(cfg agent.Config, deps agent.Deps) {
	cfg.FleetKey, cfg.Slots, cfg.OriginRegion = testFleetKey, 4, "r0"
	deps.Logger = f.logger.With("at", cfg.Instance.ID)
	deps.Scope, deps.Tracer = f.agentScope, f.tracer
	a, err := agent.New(cfg, deps)
	assert.NilError(f.t, err)
	f.start(cfg.Instance.ID, a)
	f.agents = append(f.agents, a)
	f.instanceList.Put(cfg.Instance)
}

func (f *testFleet) addEntry(i int) {
	instance := f.instance(fmt.Sprintf("entry-%d", i), core.RoleEntry, i)
	e, err := New(Config{
		Instance: instance, HTTPAddr: f.freeAddr(), FleetKey: testFleetKey, OriginRegion: "r0",
		OperatorTokenDigests: []string{fleet.TokenDigest(operatorToken).String()},
		InitialDocument:      testDocument(), ClaimShards: 2, CallTimeout: f.callTimeout, AnswerBytes: f.answerBytes,
	}, Deps{
		KeyValue:     backing.NewHTTPKeyValue(backing.HTTPConfig{BaseURL: f.urls["kv"], Timeout: time.Second}),
		InstanceList: backing.NewHTTPInstanceList(backing.HTTPConfig{BaseURL: f.urls["list"]}),
		WeightStore:  backing.NewHTTPWeightStore(backing.HTTPConfig{BaseURL: f.urls["store"]}),
		Logger:       f.logger.With("at", instance.ID),
		Scope:        f.entryScope,
		Tracer:       f.tracer,
	})
	assert.NilError(f.t, err)
	f.start(instance.ID, e)
	f.entries = append(f.entries, e)
	f.instanceList.Put(instance)
}

func testDocument() *fleet.Document {
	return &fleet.Document{
		Organisations: []fleet.Organisation{{ID: "school", TokenDigests: []string{fleet.TokenDigest(callerToken).String()}, Weight: 1}},
		RankRules: []fleet.RankRule{
			{Kind: "urgent", Rank: core.RankUrgent},
			{Kind: "background", Rank: core.RankBackground},
		},
		Ranks: []fleet.RankPolicy{
			{Rank: core.RankUrgent, GuaranteedShare: 0.5, PatienceMS: 5000},
			{Rank: core.RankNormal, GuaranteedShare: 0.25, PatienceMS: 5000},
			{Rank: core.RankBackground, GuaranteedShare: 0.1, PatienceMS: 10000},
		},
		Services: []fleet.Service{{Name: "counter", Operations: []fleet.Operation{
			{Name: "purchase", Rank: core.RankNormal}, {Name: "balance", Idempotent: true, Rank: core.RankNormal},
		}}},
	}
}

func weightsOf(version string) []byte {
	return []byte(strings.Repeat(version+"-weights-", 20000))
}

func (f *testFleet) manifest(version string) *weights.Manifest {
	f.t.Helper()
	files := fstest.MapFS{"w.bin": {Data: weightsOf(version)}}
	m, err := weights.Build("letters", version, files, testChunkBytes)
	assert.NilError(f.t, err)
	return m
}

// publish adds a version of the model to the origin and the weight store.
func (f *testFleet) publish(version string) core.ModelRef {
	f.t.Helper()
	return f.publishWithReader(version, func(read fakes.ChunkReader) fakes.ChunkReader { return read })
}

// publishWithReader is publish with the chunk reader wrapped.
func (f *testFleet) publishWithReader(version string, wrap func(fakes.ChunkReader) fakes.ChunkReader) core.ModelRef {
	f.t.Helper()
	m := f.manifest(version)
	var chunks [][]byte
	for chunk := range slices.Chunk(weightsOf(version), testChunkBytes) {
		chunks = append(chunks, chunk)
	}
	w := fakes.Weights{Ref: m.Ref(), Manifest: m.Encode(), ChunkCount: len(chunks), ReadChunk: wrap(fakes.ChunksOf(chunks))}
	f.origin.Publish(w)
	f.weightStore.Publish(w)
	return m.Ref()
}

func (f *testFleet) operator(entry int) *operator.Client {
	return operator.NewClient([]string{"http://" + f.entries[entry].cfg.HTTPAddr}, operatorToken, nil)
}

// waitUntil polls a condition until it holds; the fleet's deadline fails the test.
func (f *testFleet) waitUntil(what string, condition func() bool) {
	f.t.Helper()
	for !condition() {
		select {
		case <-f.ctx.Done():
			f.t.Fatalf("timed out waiting for: %s", what)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// awaitAgents blocks until every entry sees all agents alive and has a
// configuration.
func (f *testFleet) awaitAgents() {
	f.t.Helper()
	for _, e := range f.entries {
		f.waitUntil("agents alive", func() bool {
			alive := 0
			for _, m := range e.routes.membership.View().Instances {
				if m.Listed && m.State == fleet.MemberAlive {
					alive++
				}
			}
			return alive >= len(f.agents) && e.Generation() > 0
		})
	}
}

// applyIntent proposes an intent and confirms its plan.
func (f *testFleet) applyIntent(entry int, in intent.Intent) {
	f.t.Helper()
	plan, err := f.operator(entry).Propose(f.ctx, in)
	assert.NilError(f.t, err)
	_, err = f.operator(entry).Confirm(f.ctx, plan.ID)
	assert.NilError(f.t, err)
}

func placeIntent(version string) intent.Intent {
	return intent.Intent{Place: &intent.Place{Model: core.ModelRef{Model: "letters", Version: version}}}
}

func (f *testFleet) awaitServing(m core.ModelRef) {
	f.t.Helper()
	f.waitUntil("every engine serves "+m.Version, func() bool {
		for _, e := range f.engines {
			if e.Serving() != m {
				return false
			}
		}
		return true
	})
	f.waitUntil("every agent serves "+m.Version, func() bool {
		for _, a := range f.agents[:len(f.engines)] {
			if a.Serving() != m {
				return false
			}
		}
		return true
	})
}

// post sends a caller's request and returns the status, headers and body.
func (f *testFleet) post(entry int, path, body string, headers ...string) (int, http.Header, string) {
	f.t.Helper()
	req, err := http.NewRequestWithContext(f.ctx, http.MethodPost, "http://"+f.entries[entry].cfg.HTTPAddr+path, strings.NewReader(body))
	assert.NilError(f.t, err)
	req.Header.Set("Authorization", "Bearer "+callerToken)
	req.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(req)
	assert.NilError(f.t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	assert.NilError(f.t, err)
	return response.StatusCode, response.Header, string(text)
}

func expectedText(prompt, version string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(fakes.TokenText(prompt, version, i))
	}
	return b.String()
}
