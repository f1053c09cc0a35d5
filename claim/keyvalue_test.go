package claim

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/backing"
)

var errTest = eris.New("test fault")

// fault is what happens to one call of the key-value service.
type fault int

const (
	faultNone         fault = iota
	faultUnavailable        // The call has no effect.
	faultLostResponse       // A write takes effect and its response is lost.
	faultDelayedWrite       // A write takes effect after a later call and its response is lost.
	faultCount
)

// testKeyValue is an in-memory key-value service with faults. Leases and
// watches are not used by this package.
type testKeyValue struct {
	backing.KeyValue
	mu          sync.Mutex
	entries     map[string]backing.KeyValueEntry
	lastVersion uint64
	delayed     []backing.KeyValueEntry
	reads       int
	writes      int
	// beforeCall and afterCall run around each call, outside the lock.
	beforeCall func() fault
	afterCall  func()
}

func newTestKeyValue() *testKeyValue {
	return &testKeyValue{
		entries:    make(map[string]backing.KeyValueEntry),
		beforeCall: func() fault { return faultNone },
		afterCall:  func() {},
	}
}

func (kv *testKeyValue) List(_ context.Context, prefix, after string, limit int) ([]backing.KeyValueEntry, error) {
	if kv.beforeCall() != faultNone {
		return nil, &backing.UnavailableError{Service: "test", Cause: errTest}
	}
	defer kv.afterCall()
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.reads++
	var found []backing.KeyValueEntry
	for _, key := range slices.Sorted(maps.Keys(kv.entries)) {
		if strings.HasPrefix(key, prefix) && key > after && len(found) < limit {
			found = append(found, kv.entries[key])
		}
	}
	return found, nil
}

func (kv *testKeyValue) CompareAndSwap(_ context.Context, key string, version uint64, value []byte, _ backing.LeaseID) (uint64, error) {
	fault := kv.beforeCall()
	defer kv.afterCall()
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.writes++
	unknown := &backing.UnknownOutcomeError{Service: "test", Cause: errTest}
	switch fault {
	case faultUnavailable:
		return 0, &backing.UnavailableError{Service: "test", Cause: errTest}
	case faultDelayedWrite:
		kv.delayed = append(kv.delayed, backing.KeyValueEntry{Key: key, Value: value, Version: version})
		return 0, unknown
	}
	written, err := kv.compareAndSwap(key, version, value)
	if err == nil && fault == faultLostResponse {
		return 0, unknown
	}
	return written, err
}

func (kv *testKeyValue) compareAndSwap(key string, version uint64, value []byte) (uint64, error) {
	if actual := kv.entries[key].Version; actual != version {
		return 0, &backing.ConflictError{Key: key, CurrentVersion: actual}
	}
	kv.lastVersion++
	kv.entries[key] = backing.KeyValueEntry{Key: key, Value: value, Version: kv.lastVersion}
	return kv.lastVersion, nil
}

// applyDelayed lets the delayed writes take effect.
func (kv *testKeyValue) applyDelayed() {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	for _, w := range kv.delayed {
		_, _ = kv.compareAndSwap(w.Key, w.Version, w.Value)
	}
	kv.delayed = nil
}

func (kv *testKeyValue) Delete(_ context.Context, key string, version uint64) error {
	fault := kv.beforeCall()
	defer kv.afterCall()
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.writes++
	if fault == faultUnavailable || fault == faultDelayedWrite {
		return &backing.UnavailableError{Service: "test", Cause: errTest}
	}
	entry, ok := kv.entries[key]
	switch {
	case !ok:
		return backing.ErrKeyNotFound
	case entry.Version != version:
		return &backing.ConflictError{Key: key, CurrentVersion: entry.Version}
	}
	delete(kv.entries, key)
	if fault == faultLostResponse {
		return &backing.UnknownOutcomeError{Service: "test", Cause: errTest}
	}
	return nil
}
