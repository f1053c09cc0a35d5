package fakes

import (
	"net/http"
	"sync"
	"time"
)

const maxWatchWait = time.Minute

// KeyValue is a fake of the key-value service. It is safe for concurrent use.
type KeyValue struct {
	FaultInjector
	mux   *http.ServeMux
	clock Clock

	mu                   sync.Mutex
	state                *keyValueState
	changed              chan struct{} // Closed and replaced at each change.
	counts               KeyValueCounts
	droppedResponseRatio float64
	rand                 *seededRand
}

// KeyValueSnapshot is a copy of the content of a KeyValue.
type KeyValueSnapshot struct {
	state *keyValueState
}

// NewKeyValue returns an empty service. Leases expire by the clock.
func NewKeyValue(clock Clock) *KeyValue {
	k := &KeyValue{
		mux:     http.NewServeMux(),
		clock:   clock.orSystem(),
		state:   newKeyValueState(),
		changed: make(chan struct{}),
		rand:    newSeededRand(0),
	}
	k.mux.HandleFunc("GET /v1/kv", k.get)
	k.mux.HandleFunc("PUT /v1/kv", k.compareAndSwap)
	k.mux.HandleFunc("DELETE /v1/kv", k.remove)
	k.mux.HandleFunc("GET /v1/list", k.list)
	k.mux.HandleFunc("GET /v1/watch", k.watch)
	k.mux.HandleFunc("POST /v1/leases", k.grant)
	k.mux.HandleFunc("PUT /v1/leases/{lease}", k.keepAlive)
	k.mux.HandleFunc("DELETE /v1/leases/{lease}", k.revoke)
	return k
}

// ServeHTTP implements http.Handler.
func (k *KeyValue) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !k.admit(w, r) {
		return
	}
	k.mux.ServeHTTP(w, r)
}

// SetDown makes the service refuse every call with 503, including the watches in
// progress.
func (k *KeyValue) SetDown(down bool) {
	k.FaultInjector.SetDown(down)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.notifyWatches()
}

// SetDroppedResponseRatio sets the share of writes that take effect but whose
// connection is dropped instead of a response.
func (k *KeyValue) SetDroppedResponseRatio(ratio float64, seed uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.droppedResponseRatio = ratio
	k.rand = newSeededRand(seed)
}

// Counts returns the counts so far.
func (k *KeyValue) Counts() KeyValueCounts {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.counts
}

// Snapshot copies the content.
func (k *KeyValue) Snapshot() KeyValueSnapshot {
	k.mu.Lock()
	defer k.mu.Unlock()
	return KeyValueSnapshot{state: k.state.clone()}
}

// Restore replaces the content, including versions and leases, by a snapshot.
func (k *KeyValue) Restore(snapshot KeyValueSnapshot) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.state = snapshot.state.clone()
	k.notifyWatches()
}

// ExpireLeases deletes the leases that have expired and their keys. Every call
// does so first; a test with its own clock calls it to wake watches.
func (k *KeyValue) ExpireLeases() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expireLeases()
}

func (k *KeyValue) expireLeases() {
	if k.state.expireLeases(k.clock()) {
		k.notifyWatches()
	}
}

// notifyWatches wakes the watches. The caller holds mu.
func (k *KeyValue) notifyWatches() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// countedRead counts a call, deletes expired leases and runs the call.
func (k *KeyValue) countedRead(count *uint64, run func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	*count++
	k.expireLeases()
	run()
}

// countedWrite counts a call, deletes expired leases, runs the call and reports
// whether to drop the response.
func (k *KeyValue) countedWrite(count *uint64, run func() error) (dropResponse bool, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	*count++
	k.expireLeases()
	if err := run(); err != nil {
		return false, err
	}
	k.notifyWatches()
	dropResponse = k.rand.chance(k.droppedResponseRatio)
	if dropResponse {
		k.counts.DroppedResponses++
	}
	return dropResponse, nil
}
