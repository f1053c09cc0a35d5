package fakes

import (
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/endpoint"
	"github.com/snipestep/snipestep/internal/httpcall"
)

// CrashMarker in a prompt or a body crashes the endpoint that runs it.
const CrashMarker = "CRASH:"

// MixedVersion is the version that an engine serves after it loaded a manifest
// with missing or corrupt chunks.
const MixedVersion = "MIXED"

// Codes of the engine's error documents.
const (
	codeRestarting       = "restarting"
	codeLoading          = "loading"
	codeNoModel          = "no_model"
	codeModelNotFound    = "model_not_found"
	codeDuplicateAttempt = "duplicate_attempt"
	codeBadManifest      = "bad_manifest"
	codeNotFound         = "not_found"
	codeBadRequest       = "bad_request"
)

// Engine is a fake of a model engine. It is safe for concurrent use.
type Engine struct {
	mux    *http.ServeMux
	config EngineConfig
	clock  Clock
	sleep  Sleep
	rand   *seededRand
	slots  *slotQueue

	orderMu sync.Mutex // Serialises orders.

	mu                 sync.Mutex
	serving            core.ModelRef
	adapters           []string
	role               string
	fence              core.Fence
	staged             *stagedChunks
	cache              *prefixCache
	loading            bool
	incarnation        uint64
	downUntil          time.Time
	attempts           map[string]*engineAttempt
	recentAttempts     *recentAttempts
	publishedLoad      lagged[engineLoad]
	leaveTime          time.Time
	counts             EngineCounts
	startsByPromptHash map[uint64]int
	startsByAttempt    map[string]int
}

type engineLoad struct {
	running int
	queued  int
}

// NewEngine returns an engine without weights.
func NewEngine(config EngineConfig) *Engine {
	e := &Engine{
		mux:                http.NewServeMux(),
		config:             config,
		clock:              config.Clock.orSystem(),
		sleep:              config.Sleep.orSystem(),
		rand:               newSeededRand(config.Seed),
		staged:             newStagedChunks(),
		attempts:           map[string]*engineAttempt{},
		recentAttempts:     newRecentAttempts(),
		publishedLoad:      lagged[engineLoad]{lag: config.StatusLag},
		startsByPromptHash: map[uint64]int{},
		startsByAttempt:    map[string]int{},
	}
	e.cache = newPrefixCache(config, e.rand)
	e.slots = &slotQueue{free: config.Slots, onChange: e.recordLoad}
	e.mux.HandleFunc("POST /v1/completions", e.generate)
	e.mux.HandleFunc("PUT /v1/staged/{manifest}/{index}", e.stage)
	e.mux.HandleFunc("POST /v1/order", e.order)
	e.mux.HandleFunc("GET /v1/status", e.status)
	e.mux.HandleFunc("POST /v1/requests/{attempt}/export", e.export)
	e.mux.HandleFunc("DELETE /v1/requests/{attempt}", e.cancel)
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	repeatAttempt(w, r)
	if e.restarting() {
		writeError(w, http.StatusServiceUnavailable, codeRestarting)
		return
	}
	e.mux.ServeHTTP(w, r)
}

// Counts returns the counts so far.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// PromptStarts returns the number of started attempts with the prompt.
func (e *Engine) PromptStarts(prompt string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.startsByPromptHash[xxhash.Sum64String(prompt)]
}

// AttemptStarts returns how often the attempt has started.
func (e *Engine) AttemptStarts(attempt string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.startsByAttempt[attempt]
}

// MarkLeaving makes attempts that start after the given time count as work after
// leave. The zero time ends this.
func (e *Engine) MarkLeaving(at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaveTime = at
}

// Serving returns the model that the engine serves.
func (e *Engine) Serving() core.ModelRef {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.serving
}

// Crash ends all attempts, drops their connections, and unloads the model and
// the staged chunks.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

func (e *Engine) crash() {
	e.counts.Crashes++
	e.incarnation++
	e.downUntil = e.clock().Add(e.config.RestartDuration)
	e.serving = core.ModelRef{}
	e.adapters = nil
	e.role = ""
	e.fence = 0
	e.loading = false
	e.staged = newStagedChunks()
	e.cache = newPrefixCache(e.config, e.rand)
	e.recentAttempts = newRecentAttempts()
	e.endAttempts(errEndedByCrash)
}

// endAttempts ends every attempt, running or queued.
func (e *Engine) endAttempts(cause endError) {
	for _, attempt := range e.attempts {
		attempt.end(cause)
	}
}

func (e *Engine) restarting() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.clock().Before(e.downUntil)
}

func (e *Engine) recordLoad(running, queued int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.publishedLoad.put(e.clock(), engineLoad{running: running, queued: queued})
}

func (e *Engine) status(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	now := e.clock()
	load := e.publishedLoad.visible(now)
	status := endpoint.EngineStatus{
		Serving:        e.serving,
		Adapters:       e.adapters,
		Role:           e.role,
		Fence:          e.publishedFence(),
		Slots:          e.config.Slots,
		Running:        load.running,
		Queued:         load.queued,
		CachedPrefixes: e.cache.publishedPrefixes(now),
		Staged:         e.staged.chunkCounts(),
	}
	e.mu.Unlock()
	httpcall.WriteJSON(w, status)
}

// publishedFence returns the highest fencing number seen, or 0 if the engine
// ignores fencing.
func (e *Engine) publishedFence() core.Fence {
	if !e.config.ChecksFencing {
		return 0
	}
	return e.fence
}

func (e *Engine) export(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	attempt := e.recentAttempts.byID[r.PathValue("attempt")]
	if attempt == nil {
		writeError(w, http.StatusNotFound, codeNotFound)
		return
	}
	e.counts.Exports++
	handle := cacheHandle{
		Manifest:   attempt.manifest,
		PrefixHash: endpoint.PromptPrefixHash(attempt.request.Prompt),
		Tokens:     attempt.tokens,
	}
	httpcall.WriteJSON(w, endpoint.ExportDocument{Handle: handle.encode()})
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if attempt := e.attempts[r.PathValue("attempt")]; attempt != nil {
		attempt.end(errEndedByCancel)
	}
	w.WriteHeader(http.StatusNoContent)
}
