package fakes

import (
	"bytes"
	"maps"
	"net/http"
	"sync"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/core"
)

// Origin is the origin of weights. It is safe for concurrent use.
type Origin struct {
	Health
	mux       *http.ServeMux
	published *published

	mu           sync.Mutex
	bytes        map[core.Digest]uint64
	calls        uint64
	corrupted    uint64
	corruptRatio float64
	chance       *chance
}

// NewOrigin returns an origin without weights.
func NewOrigin() *Origin {
	o := &Origin{
		mux:       http.NewServeMux(),
		published: newPublished(),
		bytes:     map[core.Digest]uint64{},
		chance:    newChance(0),
	}
	o.mux.HandleFunc(chunkPattern, o.chunk)
	return o
}

// Publish makes the weights available.
func (o *Origin) Publish(weights Weights) {
	o.published.put(weights)
}

// SetCorruptRatio makes a part of the answers carry a wrong byte.
func (o *Origin) SetCorruptRatio(ratio float64, seed uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.corruptRatio = ratio
	o.chance = newChance(seed)
}

// Bytes returns the chunk bytes that were asked for and given, by manifest.
func (o *Origin) Bytes() map[core.Digest]uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.bytes)
}

// Calls returns the number of calls so far.
func (o *Origin) Calls() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.calls
}

// Corrupted returns the number of answers with a wrong byte.
func (o *Origin) Corrupted() uint64 {
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
	manifest, index, valid := chunkPath(r)
	if !valid {
		refuse(w, http.StatusBadRequest, backing.CodeBadRequest)
		return
	}
	data, err := o.published.chunk(manifest, index)
	if err != nil {
		refuse(w, http.StatusNotFound, backing.CodeNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	written, _ := w.Write(o.maybeCorrupt(data))
	o.mu.Lock()
	defer o.mu.Unlock()
	o.bytes[manifest] += uint64(written)
}

func (o *Origin) maybeCorrupt(data []byte) []byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(data) == 0 || !o.chance.hit(o.corruptRatio) {
		return data
	}
	o.corrupted++
	changed := bytes.Clone(data)
	changed[o.chance.intN(len(changed))] ^= 1
	return changed
}
