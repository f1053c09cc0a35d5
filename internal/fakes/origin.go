package fakes

import (
	"bytes"
	"maps"
	"net/http"
	"sync"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/core"
)

// Origin is a fake of the origin of weights. It is safe for concurrent use.
type Origin struct {
	FaultInjector
	mux     *http.ServeMux
	weights *publishedWeights

	mu           sync.Mutex
	sentBytes    map[core.Digest]uint64
	calls        uint64
	corrupted    uint64
	corruptRatio float64
	rand         *seededRand
}

// NewOrigin returns an origin without weights.
func NewOrigin() *Origin {
	o := &Origin{
		mux:       http.NewServeMux(),
		weights:   newPublishedWeights(),
		sentBytes: map[core.Digest]uint64{},
		rand:      newSeededRand(0),
	}
	o.mux.HandleFunc(chunkPattern, o.chunk)
	return o
}

// Publish makes the weights available.
func (o *Origin) Publish(weights Weights) {
	o.weights.put(weights)
}

// SetCorruptRatio sets the share of responses that carry a wrong byte.
func (o *Origin) SetCorruptRatio(ratio float64, seed uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.corruptRatio = ratio
	o.rand = newSeededRand(seed)
}

// SentBytes returns the chunk bytes sent so far, by manifest.
func (o *Origin) SentBytes() map[core.Digest]uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.sentBytes)
}

// Calls returns the number of calls so far.
func (o *Origin) Calls() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.calls
}

// CorruptResponses returns the number of responses with a wrong byte.
func (o *Origin) CorruptResponses() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.corrupted
}

// ServeHTTP implements http.Handler.
func (o *Origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o.mu.Lock()
	o.calls++
	o.mu.Unlock()
	if o.admit(w, r) {
		o.mux.ServeHTTP(w, r)
	}
}

func (o *Origin) chunk(w http.ResponseWriter, r *http.Request) {
	manifest, index, valid := parseChunkPath(r)
	if !valid {
		writeError(w, http.StatusBadRequest, backing.CodeBadRequest)
		return
	}
	data, err := o.weights.chunk(manifest, index)
	if err != nil {
		writeError(w, http.StatusNotFound, backing.CodeNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	written, _ := w.Write(o.maybeCorrupt(data))
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sentBytes[manifest] += uint64(written)
}

func (o *Origin) maybeCorrupt(data []byte) []byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(data) == 0 || !o.rand.chance(o.corruptRatio) {
		return data
	}
	o.corrupted++
	corrupted := bytes.Clone(data)
	corrupted[o.rand.intN(len(corrupted))] ^= 1
	return corrupted
}
