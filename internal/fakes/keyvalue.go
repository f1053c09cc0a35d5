package fakes

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/snipestep/snipestep/internal/httpcall"
	"github.com/snipestep/snipestep/platform"
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

// acknowledge ends a write: it drops the connection, or answers the error, or
// returns true for the answer to be written.
func acknowledge(w http.ResponseWriter, lost bool, err error) bool {
	if lost {
		abort()
	}
	if err != nil {
		refuseKeyValue(w, err)
		return false
	}
	return true
}

func (k *KeyValue) get(w http.ResponseWriter, r *http.Request) {
	var entry platform.KeyValueEntry
	var err error
	k.read(&k.counts.Get, func() { entry, err = k.state.get(r.URL.Query().Get("key")) })
	if err != nil {
		refuseKeyValue(w, err)
		return
	}
	setVersion(w, entry.Version)
	_, _ = w.Write(entry.Value)
}

func (k *KeyValue) compareAndSwap(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxValueBytes))
	if err != nil {
		refuse(w, http.StatusRequestEntityTooLarge, platform.CodeTooLarge)
		return
	}
	version, valid := queryUint(r, "version")
	if !valid {
		refuse(w, http.StatusBadRequest, platform.CodeBadRequest)
		return
	}
	lease, _ := queryUint(r, "lease")
	var written uint64
	lost, err := k.write(&k.counts.CompareAndSwap, func() error {
		var failure error
		written, failure = k.state.swap(r.URL.Query().Get("key"), version, value, platform.LeaseID(lease))
		return failure
	})
	if acknowledge(w, lost, err) {
		setVersion(w, written)
	}
}

func (k *KeyValue) remove(w http.ResponseWriter, r *http.Request) {
	version, valid := queryUint(r, "version")
	if !valid {
		refuse(w, http.StatusBadRequest, platform.CodeBadRequest)
		return
	}
	lost, err := k.write(&k.counts.Delete, func() error { return k.state.remove(r.URL.Query().Get("key"), version) })
	acknowledge(w, lost, err)
}

func (k *KeyValue) list(w http.ResponseWriter, r *http.Request) {
	limit, valid := queryUint(r, "limit")
	if !valid {
		refuse(w, http.StatusBadRequest, platform.CodeBadRequest)
		return
	}
	query := r.URL.Query()
	var document platform.ListDocument
	k.read(&k.counts.List, func() {
		document.Entries = k.state.list(query.Get("prefix"), query.Get("after"), int(min(limit, platform.MaxListLimit)))
	})
	httpcall.WriteJSON(w, document)
}

func (k *KeyValue) grant(w http.ResponseWriter, r *http.Request) {
	ttl, valid := queryUint(r, "ttl_ms")
	if !valid || ttl == 0 {
		refuse(w, http.StatusBadRequest, platform.CodeBadRequest)
		return
	}
	var document platform.LeaseDocument
	lost, err := k.write(&k.counts.Grant, func() error {
		document.Lease = k.state.grant(time.Duration(ttl)*time.Millisecond, k.clock())
		return nil
	})
	if acknowledge(w, lost, err) {
		httpcall.WriteJSON(w, document)
	}
}

func (k *KeyValue) keepAlive(w http.ResponseWriter, r *http.Request) {
	lease := pathLease(r)
	lost, err := k.write(&k.counts.KeepAlive, func() error { return k.state.keepAlive(lease, k.clock()) })
	acknowledge(w, lost, err)
}

func (k *KeyValue) revoke(w http.ResponseWriter, r *http.Request) {
	lease := pathLease(r)
	lost, err := k.write(&k.counts.Revoke, func() error { return k.state.revoke(lease) })
	acknowledge(w, lost, err)
}

func pathLease(r *http.Request) platform.LeaseID {
	// Lease 0 does not exist.
	lease, _ := strconv.ParseUint(r.PathValue("lease"), 10, 64)
	return platform.LeaseID(lease)
}

func setVersion(w http.ResponseWriter, version uint64) {
	w.Header().Set(platform.VersionHeader, strconv.FormatUint(version, 10))
}

func refuseKeyValue(w http.ResponseWriter, err error) {
	var conflict *platform.ConflictError
	switch {
	case errors.As(err, &conflict):
		document := httpcall.ErrorDocument{Code: platform.CodeConflict, Version: conflict.Actual}
		httpcall.WriteError(w, http.StatusConflict, document)
	case errors.Is(err, platform.ErrLeaseNotFound):
		refuse(w, http.StatusNotFound, platform.CodeLeaseNotFound)
	default:
		refuse(w, http.StatusNotFound, platform.CodeKeyNotFound)
	}
}
