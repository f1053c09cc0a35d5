package fakes

import (
	"net/http"
	"sync"
	"time"
)

const maxWatchWait = time.Minute

// KeyValue is the key-value service. It is safe for concurrent use.
type KeyValue struct {
	Health
	mux   *http.ServeMux
	clock Clock

	mu        sync.Mutex
	state     *keyValueState
	changed   chan struct{} // Closed and replaced at each change.
	counts    KeyValueCounts
	loseRatio float64
	chance    *chance
}

// KeyValueSnapshot is a copy of the service's content.
type KeyValueSnapshot struct {
	state *keyValueState
}

// NewKeyValue returns an empty service. Leases lapse by the clock.
func NewKeyValue(clock Clock) *KeyValue {
	k := &KeyValue{
		mux:     http.NewServeMux(),
		clock:   clock.orSystem(),
		state:   newKeyValueState(),
		changed: make(chan struct{}),
		chance:  newChance(0),
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

// SetDown makes the service refuse every call with 503, also the watches
// that wait.
func (k *KeyValue) SetDown(down bool) {
	k.Health.SetDown(down)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.notify()
}

// SetLoseAnswerRatio makes a part of the writes take effect and drop their
// connection in place of the answer.
func (k *KeyValue) SetLoseAnswerRatio(ratio float64, seed uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.loseRatio = ratio
	k.chance = newChance(seed)
}

// Counts returns the calls so far.
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

// Restore puts an older content back, versions and leases included.
func (k *KeyValue) Restore(snapshot KeyValueSnapshot) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.state = snapshot.state.clone()
	k.notify()
}

// Sweep ends the leases that lapsed by the clock. Every call does so first;
// a test with its own clock calls it to wake watches.
func (k *KeyValue) Sweep() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sweep()
}

func (k *KeyValue) sweep() {
	if k.state.sweep(k.clock()) {
		k.notify()
	}
}

// notify wakes the watches. The caller holds mu.
func (k *KeyValue) notify() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// read counts a call and runs it on swept content.
func (k *KeyValue) read(count *uint64, run func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	*count++
	k.sweep()
	run()
}

// write counts a call, runs it and reports whether its answer is lost.
func (k *KeyValue) write(count *uint64, run func() error) (lost bool, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	*count++
	k.sweep()
	if err := run(); err != nil {
		return false, err
	}
	k.notify()
	lost = k.chance.hit(k.loseRatio)
	if lost {
		k.counts.Lost++
	}
	return lost, nil
}
