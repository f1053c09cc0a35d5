package fakes

import (
	"bytes"
	"maps"
	"sort"
	"strings"
	"time"

	"github.com/snipestep/snipestep/backing"
)

// keyValueState is the content of the key-value service.
type keyValueState struct {
	entries map[string]storedEntry
	// versions keeps the last version of each key, deleted ones included.
	versions  map[string]uint64
	leases    map[backing.LeaseID]storedLease
	lastLease backing.LeaseID
}

type storedEntry struct {
	value   []byte
	version uint64
	lease   backing.LeaseID
}

type storedLease struct {
	ttl  time.Duration
	ends time.Time
}

func newKeyValueState() *keyValueState {
	return &keyValueState{
		entries:  map[string]storedEntry{},
		versions: map[string]uint64{},
		leases:   map[backing.LeaseID]storedLease{},
	}
}

// clone copies the state. Values are never changed in place.
func (s *keyValueState) clone() *keyValueState {
	return &keyValueState{
		entries:   maps.Clone(s.entries),
		versions:  maps.Clone(s.versions),
		leases:    maps.Clone(s.leases),
		lastLease: s.lastLease,
	}
}

// sweep ends lapsed leases and reports whether there were any.
func (s *keyValueState) sweep(now time.Time) bool {
	swept := false
	for id, lease := range s.leases {
		if lease.ends.After(now) {
			continue
		}
		s.endLease(id)
		swept = true
	}
	return swept
}

// nextLapse returns when the next lease lapses.
func (s *keyValueState) nextLapse() (time.Time, bool) {
	var next time.Time
	for _, lease := range s.leases {
		if next.IsZero() || lease.ends.Before(next) {
			next = lease.ends
		}
	}
	return next, !next.IsZero()
}

func (s *keyValueState) endLease(id backing.LeaseID) {
	delete(s.leases, id)
	for key, entry := range s.entries {
		if entry.lease == id {
			delete(s.entries, key)
		}
	}
}

func (s *keyValueState) grant(ttl time.Duration, now time.Time) backing.LeaseID {
	s.lastLease++
	s.leases[s.lastLease] = storedLease{ttl: ttl, ends: now.Add(ttl)}
	return s.lastLease
}

func (s *keyValueState) keepAlive(id backing.LeaseID, now time.Time) error {
	lease, found := s.leases[id]
	if !found {
		return backing.ErrLeaseNotFound
	}
	lease.ends = now.Add(lease.ttl)
	s.leases[id] = lease
	return nil
}

func (s *keyValueState) revoke(id backing.LeaseID) error {
	if _, found := s.leases[id]; !found {
		return backing.ErrLeaseNotFound
	}
	s.endLease(id)
	return nil
}

func (s *keyValueState) get(key string) (backing.KeyValueEntry, error) {
	entry, found := s.entries[key]
	if !found {
		return backing.KeyValueEntry{}, backing.ErrKeyNotFound
	}
	return backing.KeyValueEntry{Key: key, Value: entry.value, Version: entry.version}, nil
}

func (s *keyValueState) swap(key string, version uint64, value []byte, lease backing.LeaseID) (uint64, error) {
	if actual := s.entries[key].version; actual != version {
		return 0, &backing.ConflictError{Key: key, Actual: actual}
	}
	if _, found := s.leases[lease]; lease != 0 && !found {
		return 0, backing.ErrLeaseNotFound
	}
	s.versions[key]++
	s.entries[key] = storedEntry{value: bytes.Clone(value), version: s.versions[key], lease: lease}
	return s.versions[key], nil
}

func (s *keyValueState) remove(key string, version uint64) error {
	entry, found := s.entries[key]
	if !found {
		return backing.ErrKeyNotFound
	}
	if entry.version != version {
		return &backing.ConflictError{Key: key, Actual: entry.version}
	}
	delete(s.entries, key)
	return nil
}

func (s *keyValueState) list(prefix, after string, limit int) []backing.EntryDocument {
	keys := make([]string, 0, len(s.entries))
	for key := range s.entries {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	listed := make([]backing.EntryDocument, 0, min(limit, len(keys)))
	for _, key := range keys[:min(limit, len(keys))] {
		entry := s.entries[key]
		listed = append(listed, backing.EntryDocument{Key: key, Value: entry.value, Version: entry.version})
	}
	return listed
}
