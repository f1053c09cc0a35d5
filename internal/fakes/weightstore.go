package fakes

import (
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/internal/httpcall"
)

// WeightStore is a fake of the rate-limited weight store. It is safe for
// concurrent use.
type WeightStore struct {
	FaultInjector
	mux     *http.ServeMux
	weights *publishedWeights
	clock   Clock
	limiter *rate.Limiter

	mu     sync.Mutex
	counts WeightStoreCounts
}

// WeightStoreCounts counts the calls to a WeightStore.
type WeightStoreCounts struct {
	Manifest    uint64
	Resolve     uint64
	Chunk       uint64
	RateLimited uint64
	Bytes       uint64 // Chunk bytes.
}

// NewWeightStore returns a store without weights that accepts callsPerSecond
// calls per second, in bursts of up to burst. 0 calls per second is no limit.
func NewWeightStore(callsPerSecond float64, burst int, clock Clock) *WeightStore {
	limit := rate.Limit(callsPerSecond)
	if callsPerSecond <= 0 {
		limit = rate.Inf
	}
	s := &WeightStore{
		mux:     http.NewServeMux(),
		weights: newPublishedWeights(),
		clock:   clock.orSystem(),
		limiter: rate.NewLimiter(limit, burst),
	}
	s.mux.HandleFunc("GET /v1/manifests/{manifest}", s.manifest)
	s.mux.HandleFunc("GET /v1/models/{model}/versions/{version}", s.resolve)
	s.mux.HandleFunc(chunkPattern, s.chunk)
	return s
}

// Publish makes the weights available.
func (s *WeightStore) Publish(weights Weights) {
	s.weights.put(weights)
}

// Counts returns the counts so far.
func (s *WeightStore) Counts() WeightStoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// ServeHTTP implements http.Handler.
func (s *WeightStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r) {
		return
	}
	if !s.limiter.AllowN(s.clock(), 1) {
		s.updateCounts(func(c *WeightStoreCounts) { c.RateLimited++ })
		writeRateLimited(w, s.retryAfterMS())
		return
	}
	s.mux.ServeHTTP(w, r)
}

// retryAfterMS is the interval between calls at the limit.
func (s *WeightStore) retryAfterMS() int64 {
	callInterval := time.Duration(float64(time.Second) / float64(s.limiter.Limit()))
	return max(1, callInterval.Milliseconds())
}

func (s *WeightStore) updateCounts(update func(*WeightStoreCounts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update(&s.counts)
}

func (s *WeightStore) manifest(w http.ResponseWriter, r *http.Request) {
	s.updateCounts(func(c *WeightStoreCounts) { c.Manifest++ })
	digest, err := core.ParseDigest(r.PathValue("manifest"))
	if err != nil {
		writeError(w, http.StatusBadRequest, backing.CodeBadRequest)
		return
	}
	weights, found := s.weights.get(digest)
	if !found {
		writeError(w, http.StatusNotFound, backing.CodeNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(weights.Manifest)
}

func (s *WeightStore) resolve(w http.ResponseWriter, r *http.Request) {
	s.updateCounts(func(c *WeightStoreCounts) { c.Resolve++ })
	ref, found := s.weights.resolve(r.PathValue("model"), r.PathValue("version"))
	if !found {
		writeError(w, http.StatusNotFound, backing.CodeNotFound)
		return
	}
	httpcall.WriteJSON(w, ref)
}

func (s *WeightStore) chunk(w http.ResponseWriter, r *http.Request) {
	manifest, index, valid := parseChunkPath(r)
	if !valid {
		writeError(w, http.StatusBadRequest, backing.CodeBadRequest)
		return
	}
	data, err := s.weights.chunk(manifest, index)
	if err != nil {
		writeError(w, http.StatusNotFound, backing.CodeNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	written, _ := w.Write(data)
	s.updateCounts(func(c *WeightStoreCounts) {
		c.Chunk++
		c.Bytes += uint64(written)
	})
}
