package fakes

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/core"
)

// InstanceList is a fake of the platform's instance list. Each change becomes
// visible after a lag, the first content at once. It is safe for concurrent use.
type InstanceList struct {
	FaultInjector
	clock Clock

	mu        sync.Mutex
	content   lagged[[]core.Instance]
	calls     uint64
	sentBytes uint64
}

// NewInstanceList returns an empty list.
func NewInstanceList(lag time.Duration, clock Clock) *InstanceList {
	return &InstanceList{clock: clock.orSystem(), content: lagged[[]core.Instance]{lag: lag}}
}

// Set replaces the content.
func (l *InstanceList) Set(instances []core.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.set(slices.Clone(instances))
}

// Put adds an instance or replaces the one with its ID.
func (l *InstanceList) Put(instance core.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.set(append(l.without(instance.ID), instance))
}

// Remove takes an instance off the list.
func (l *InstanceList) Remove(id core.InstanceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.set(l.without(id))
}

// Calls returns the number of calls so far.
func (l *InstanceList) Calls() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

// ServeHTTP implements http.Handler.
func (l *InstanceList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	l.calls++
	l.mu.Unlock()
	if !l.admit(w, r) {
		return
	}
	if r.Method != http.MethodGet || r.URL.Path != "/v1/instances" {
		writeError(w, http.StatusNotFound, backing.CodeNotFound)
		return
	}
	l.writeDocument(w, r, backing.InstancesDocument{Instances: l.visible()})
}

// writeDocument sends the list with its entity tag, or 304 if If-None-Match holds
// that tag.
func (l *InstanceList) writeDocument(w http.ResponseWriter, r *http.Request, document backing.InstancesDocument) {
	body, err := json.Marshal(document)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	etag := `"` + core.SumDigest(body).String() + `"`
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	written, _ := w.Write(body)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sentBytes += uint64(written)
}

// SentBytes returns the list bytes sent so far.
func (l *InstanceList) SentBytes() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sentBytes
}

func (l *InstanceList) set(instances []core.Instance) {
	l.content.put(l.clock(), instances)
}

func (l *InstanceList) without(id core.InstanceID) []core.Instance {
	return slices.DeleteFunc(slices.Clone(l.content.latest()), func(i core.Instance) bool { return i.ID == id })
}

func (l *InstanceList) visible() []core.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.content.visible(l.clock()))
}
