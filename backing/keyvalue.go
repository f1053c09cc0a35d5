package backing

import (
	"context"
	"time"
)

// LeaseID identifies a lease of the key-value service. 0 means no lease.
type LeaseID uint64

// KeyValueEntry is one key with its value. Version starts at 1 and increases by
// one with each write; it does not repeat when a key is deleted and created
// again.
type KeyValueEntry struct {
	Key     string
	Value   []byte
	Version uint64
}

// KeyValue is the platform's key-value service. All calls block until the
// service responds or ctx ends. Errors are ErrKeyNotFound, *ConflictError,
// ErrLeaseNotFound, *UnavailableError, *RateLimitedError, *RejectedError (with all
// of these a write had no effect) or *UnknownOutcomeError (the write may have taken
// effect).
type KeyValue interface {
	// Get returns the entry of a key, or ErrKeyNotFound.
	Get(ctx context.Context, key string) (KeyValueEntry, error)
	// CompareAndSwap writes value if the key's version equals version; 0
	// means that the key does not exist. It returns the new version. A key
	// attached to a lease is deleted when the lease ends.
	CompareAndSwap(ctx context.Context, key string, version uint64, value []byte, lease LeaseID) (uint64, error)
	// Delete deletes a key if its version equals version.
	Delete(ctx context.Context, key string, version uint64) error
	// List returns up to limit entries whose key has the prefix and sorts
	// after the key passed as after, in key order.
	List(ctx context.Context, prefix, after string, limit int) ([]KeyValueEntry, error)
	// Watch blocks until the key's version differs from version and
	// returns the entry, or ErrKeyNotFound once the key is deleted. A
	// store restored from a backup may return a lower version.
	Watch(ctx context.Context, key string, version uint64) (KeyValueEntry, error)
	// Grant creates a lease that expires ttl after its last KeepAlive.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease, or returns ErrLeaseNotFound.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
}
