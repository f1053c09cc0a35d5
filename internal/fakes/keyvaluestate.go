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
	// lastVersions keeps the last version of each key, including deleted
	// ones.
	lastVersions map[string]uint64
	leases       map[backing.LeaseID]storedLease
	lastLeaseID  backing.LeaseID
}

type storedEntry struct {
	value   []byte
	version uint64
	lease   backing.LeaseID
}

type storedLease struct {
	ttl       time.Duration
	expiresAt time.Time
}

func newKeyValueState() *keyValueState {
	return &keyValueState{
		entries:      map[string]storedEntry{},
		lastVersions: map[string]uint64{},
		leases:       map[backing.LeaseID]storedLease{},
	}
}

// clone copies the state. It shares the values, which are never changed in place.
func (s *keyValueState) clone() *keyValueState {
	return &keyValueState{
		entries:      maps.Clone(s.entries),
		lastVersions: maps.Clone(s.lastVersions),
		leases:       maps.Clone(s.leases),
		lastLeaseID:  s.lastLeaseID,
	}
}

// expireLeases deletes expired leases and reports whether there were any.
func (s *keyValueState) expireLeases(now time.Time) bool {
	expired := false
	for id, lease := range s.leases {
		if lease.expiresAt.After(now) {
			continue
		}
		s.deleteLease(id)
		expired = true
	}
	return expired
}

// nextExpiry returns when the next lease expires.
func (s *keyValueState) nextExpiry() (time.Time, bool) {
	var next time.Time
	for _, lease := range s.leases {
		if next.IsZero() || lease.expiresAt.Before(next) {
			next = lease.expiresAt
		}
	}
	return next, !next.IsZero()
}

func (s *keyValueState) deleteLease(id backing.LeaseID) {
	delete(s.leases, id)
	for key, entry := range s.entries {
		if entry.lease == id {
			delete(s.entries, key)
		}
	}
}

func (s *keyValueState) grant(ttl time.Duration, now time.Time) backing.LeaseID {
	s.lastLeaseID++
	s.leases[s.lastLeaseID] = storedLease{ttl: ttl, expiresAt: now.Add(ttl)}
	return s.lastLeaseID
}

func (s *keyValueState) keepAlive(id backing.LeaseID, now time.Time) error {
	lease, found := s.leases[id]
	if !found {
		return backing.ErrLeaseNotFound
	}
	lease.expiresAt = now.Add(lease.ttl)
	s.leases[id] = lease
	return nil
}

func (s *keyValueState) revoke(id backing.LeaseID) error {
	if _, found := s.leases[id]; !found {
		return backing.ErrLeaseNotFound
	}
	s.deleteLease(id)
	return nil
}

func (s *keyValueState) get(key string) (backing.KeyValueEntry, error) {
	entry, found := s.entries[key]
	if !found {
		return backing.KeyValueEntry{}, backing.ErrKeyNotFound
	}
	return backing.KeyValueEntry{Key: key, Value: entry.value, Version: entry.version}, nil
}

func (s *keyValueState) compareAndSwap(key string, expectedVersion uint64, value []byte, lease backing.LeaseID) (uint64, error) {
	if actual := s.entries[key].version; actual != expectedVersion {
		return 0, &backing.ConflictError{Key: key, CurrentVersion: actual}
	}
	if _, found := s.leases[lease]; lease != 0 && !found {
		return 0, backing.ErrLeaseNotFound
	}
	s.lastVersions[key]++
	s.entries[key] = storedEntry{value: bytes.Clone(value), version: s.lastVersions[key], lease: lease}
	return s.lastVersions[key], nil
}

func (s *keyValueState) remove(key string, expectedVersion uint64) error {
	entry, found := s.entries[key]
	if !found {
		return backing.ErrKeyNotFound
	}
	if entry.version != expectedVersion {
		return &backing.ConflictError{Key: key, CurrentVersion: entry.version}
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
	page := make([]backing.EntryDocument, 0, min(limit, len(keys)))
	for _, key := range keys[:min(limit, len(keys))] {
		entry := s.entries[key]
		page = append(page, backing.EntryDocument{Key: key, Value: entry.value, Version: entry.version})
	}
	return page
}
