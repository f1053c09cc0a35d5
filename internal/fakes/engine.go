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

// MixedVersion is the version that an engine serves after loading a manifest
// that was not staged whole.
const MixedVersion = "MIXED"

// Codes of an engine's error documents.
const (
	codeRestarting    = "restarting"
	codeLoading       = "loading"
	codeNoModel       = "no_model"
	codeModelNotFound = "model_not_found"
	codeDuplicate     = "duplicate_attempt"
	codeBadManifest   = "bad_manifest"
	codeNotFound      = "not_found"
	codeBadRequest    = "bad_request"
)

// Engine is one model engine. It is safe for concurrent use.
type Engine struct {
	mux    *http.ServeMux
	config EngineConfig
	clock  Clock
	sleep  Sleep
	chance *chance
	slots  *slotQueue

	ordering sync.Mutex // Held by the one order that runs.

	mu            sync.Mutex
	serving       core.ModelRef
	adapters      []string
	role          string
	fence         core.Fence
	staged        *stagedChunks
	cache         *prefixCache
	loading       bool
	restarts      uint64
	downUntil     time.Time
	running       map[string]*engineAttempt
	recent        *recentAttempts
	load          lagged[engineLoad]
	leaving       time.Time
	counts        EngineCounts
	begunPrompts  map[uint64]int
	begunAttempts map[string]int
}

type engineLoad struct {
	running int
	queued  int
}

// NewEngine returns an engine without weights.
func NewEngine(config EngineConfig) *Engine {
	e := &Engine{
		mux:           http.NewServeMux(),
		config:        config,
		clock:         config.Clock.orSystem(),
		sleep:         config.Sleep.orSystem(),
		chance:        newChance(config.Seed),
		staged:        newStagedChunks(),
		running:       map[string]*engineAttempt{},
		recent:        newRecentAttempts(),
		load:          lagged[engineLoad]{lag: config.StatusLag},
		begunPrompts:  map[uint64]int{},
		begunAttempts: map[string]int{},
	}
	e.cache = newPrefixCache(config, e.chance)
	e.slots = &slotQueue{free: config.Slots, changed: e.loadChanged}
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
	if e.restarting() {
		refuse(w, http.StatusServiceUnavailable, codeRestarting)
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

// Begun returns how many attempts with the prompt have begun.
func (e *Engine) Begun(prompt string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.begunPrompts[xxhash.Sum64String(prompt)]
}

// BegunAttempt returns how often the attempt has begun.
func (e *Engine) BegunAttempt(attempt string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.begunAttempts[attempt]
}

// MarkLeaving makes attempts that begin after the time count as work after
// leave. The zero time ends this.
func (e *Engine) MarkLeaving(at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = at
}

// Serving returns what the engine serves.
func (e *Engine) Serving() core.ModelRef {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.serving
}

// Crash ends all work, drops its connections, and empties the engine.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

func (e *Engine) crash() {
	e.counts.Crashes++
	e.restarts++
	e.downUntil = e.clock().Add(e.config.Restart)
	e.serving = core.ModelRef{}
	e.adapters = nil
	e.role = ""
	e.fence = 0
	e.loading = false
	e.staged = newStagedChunks()
	e.cache = newPrefixCache(e.config, e.chance)
	e.recent = newRecentAttempts()
	e.endRunning(errEndedByCrash)
}

// endRunning ends every attempt, begun or queued.
func (e *Engine) endRunning(cause endError) {
	for _, attempt := range e.running {
		attempt.end(cause)
	}
}

func (e *Engine) restarting() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.clock().Before(e.downUntil)
}

func (e *Engine) loadChanged(running, queued int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.load.put(e.clock(), engineLoad{running: running, queued: queued})
}

func (e *Engine) status(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	now := e.clock()
	load := e.load.shown(now)
	status := endpoint.EngineStatus{
		Serving:        e.serving,
		Adapters:       e.adapters,
		Role:           e.role,
		Fence:          e.publishedFence(),
		Slots:          e.config.Slots,
		Running:        load.running,
		Queued:         load.queued,
		CachedPrefixes: e.cache.shown(now),
		Staged:         e.staged.counts(),
	}
	e.mu.Unlock()
	httpcall.WriteJSON(w, status)
}

// publishedFence is 0 for an engine that ignores fencing.
func (e *Engine) publishedFence() core.Fence {
	if !e.config.ChecksFencing {
		return 0
	}
	return e.fence
}

func (e *Engine) export(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	attempt := e.recent.byID[r.PathValue("attempt")]
	if attempt == nil {
		refuse(w, http.StatusNotFound, codeNotFound)
		return
	}
	e.counts.Exports++
	handle := cacheHandle{
		Manifest: attempt.manifest,
		Prefix:   endpoint.PromptPrefixHash(attempt.request.Prompt),
		Tokens:   attempt.tokens,
	}
	httpcall.WriteJSON(w, endpoint.ExportDocument{Handle: handle.encode()})
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if attempt := e.running[r.PathValue("attempt")]; attempt != nil {
		attempt.end(errEndedByCancel)
	}
	w.WriteHeader(http.StatusNoContent)
}
