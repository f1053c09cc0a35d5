package configuration_test

import (
	"context"
	"sync"
	"time"

	"github.com/snipestep/snipestep/backing"
)

// fault is what happens to one call of a memoryKeyValue.
type fault int

const (
	faultNone fault = iota
	faultUnavailable
	faultLostRequest  // The request is lost: the outcome is unknown and the write had no effect.
	faultLostResponse // The response is lost: the outcome is unknown and the write took effect.
)

// memoryKeyValue is an in-memory key-value service. Its leases end only by expire
// or Revoke.
type memoryKeyValue struct {
	mu         sync.Mutex
	entries    map[string]backing.KeyValueEntry
	leaseByKey map[string]backing.LeaseID
	versions   map[string]uint64
	leases     map[backing.LeaseID]bool
	lastLease  backing.LeaseID
	faults     []fault
	changed    chan struct{}
	beforeCAS  func()
	calls      int
}

func newMemoryKeyValue() *memoryKeyValue {
	return &memoryKeyValue{
		entries:    make(map[string]backing.KeyValueEntry),
		leaseByKey: make(map[string]backing.LeaseID),
		versions:   make(map[string]uint64),
		leases:     make(map[backing.LeaseID]bool),
		changed:    make(chan struct{}),
	}
}

func (m *memoryKeyValue) nextFault() fault {
	m.calls++
	if len(m.faults) == 0 {
		return faultNone
	}
	f := m.faults[0]
	m.faults = m.faults[1:]
	return f
}

func (m *memoryKeyValue) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func unavailable() error { return &backing.UnavailableError{Service: "key-value"} }

func (m *memoryKeyValue) Get(_ context.Context, key string) (backing.KeyValueEntry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.nextFault() != faultNone {
		return backing.KeyValueEntry{}, unavailable()
	}
	return m.get(key)
}

func (m *memoryKeyValue) get(key string) (backing.KeyValueEntry, error) {
	entry, ok := m.entries[key]
	if !ok {
		return entry, backing.ErrKeyNotFound
	}
	return entry, nil
}

func (m *memoryKeyValue) CompareAndSwap(_ context.Context, key string, version uint64, value []byte, lease backing.LeaseID) (uint64, error) {
	if hook := m.beforeCAS; hook != nil {
		m.beforeCAS = nil
		hook()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch m.nextFault() {
	case faultUnavailable:
		return 0, unavailable()
	case faultLostRequest:
		return 0, &backing.UnknownOutcomeError{Service: "key-value"}
	case faultLostResponse:
		_, _ = m.compareAndSwap(key, version, value, lease)
		return 0, &backing.UnknownOutcomeError{Service: "key-value"}
	}
	return m.compareAndSwap(key, version, value, lease)
}

func (m *memoryKeyValue) compareAndSwap(key string, version uint64, value []byte, lease backing.LeaseID) (uint64, error) {
	if lease != 0 && !m.leases[lease] {
		return 0, backing.ErrLeaseNotFound
	}
	if m.entries[key].Version != version {
		return 0, &backing.ConflictError{Key: key, CurrentVersion: m.entries[key].Version}
	}
	m.versions[key]++
	m.entries[key] = backing.KeyValueEntry{Key: key, Value: value, Version: m.versions[key]}
	m.leaseByKey[key] = lease
	m.notify()
	return m.versions[key], nil
}

func (m *memoryKeyValue) Delete(_ context.Context, key string, version uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.entries[key].Version != version {
		return &backing.ConflictError{Key: key, CurrentVersion: m.entries[key].Version}
	}
	delete(m.entries, key)
	m.notify()
	return nil
}

func (m *memoryKeyValue) List(context.Context, string, string, int) ([]backing.KeyValueEntry, error) {
	return nil, unavailable()
}

func (m *memoryKeyValue) Watch(ctx context.Context, key string, version uint64) (backing.KeyValueEntry, error) {
	for {
		m.mu.Lock()
		if m.nextFault() != faultNone {
			m.mu.Unlock()
			return backing.KeyValueEntry{}, unavailable()
		}
		entry, err := m.get(key)
		changed := m.changed
		m.mu.Unlock()
		if entry.Version != version {
			return entry, err
		}
		select {
		case <-ctx.Done():
			return backing.KeyValueEntry{}, ctx.Err()
		case <-changed:
		}
	}
}

func (m *memoryKeyValue) Grant(context.Context, time.Duration) (backing.LeaseID, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.nextFault() != faultNone {
		return 0, unavailable()
	}
	m.lastLease++
	m.leases[m.lastLease] = true
	return m.lastLease, nil
}

func (m *memoryKeyValue) KeepAlive(_ context.Context, lease backing.LeaseID) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.nextFault() != faultNone {
		return unavailable()
	}
	if !m.leases[lease] {
		return backing.ErrLeaseNotFound
	}
	return nil
}

func (m *memoryKeyValue) Revoke(_ context.Context, lease backing.LeaseID) error {
	m.expire(lease)
	return nil
}

func (m *memoryKeyValue) expire(lease backing.LeaseID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.leases, lease)
	for key, keyLease := range m.leaseByKey {
		if keyLease == lease {
			delete(m.entries, key)
			delete(m.leaseByKey, key)
		}
	}
	m.notify()
}

// restore sets a key to an older value, as restoring a backup does.
func (m *memoryKeyValue) restore(key string, entry backing.KeyValueEntry, exists bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.entries, key)
	if exists {
		m.entries[key] = entry
		m.versions[key] = entry.Version
	}
	m.notify()
}
