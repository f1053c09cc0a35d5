package backing

import (
	"context"
	"time"
)

// LeaseID names a lease of the key-value service. 0 means no lease.
type LeaseID uint64

// KeyValueEntry is one key with its value. Version starts at 1 and grows by
// one with each write; it never repeats for a key that was deleted and made
// again.
type KeyValueEntry struct {
	Key     string
	Value   []byte
	Version uint64
}

// KeyValue is the platform's key-value service. All calls block until the
// service answers or ctx ends. Errors are ErrKeyNotFound, *ConflictError,
// ErrLeaseNotFound, *UnavailableError (the write did not take effect) or
// *UnknownOutcomeError (the write may have taken effect).
type KeyValue interface {
	// Get returns the entry of a key, or ErrKeyNotFound.
	Get(ctx context.Context, key string) (KeyValueEntry, error)
	// CompareAndSwap writes value if the key's version equals version; 0
	// stands for a key that does not exist. It returns the new version. A
	// key bound to a lease disappears when the lease ends.
	CompareAndSwap(ctx context.Context, key string, version uint64, value []byte, lease LeaseID) (uint64, error)
	// Delete removes a key whose version equals version.
	Delete(ctx context.Context, key string, version uint64) error
	// List returns up to limit entries whose key has the prefix and sorts
	// after the key after, in key order.
	List(ctx context.Context, prefix, after string, limit int) ([]KeyValueEntry, error)
	// Watch blocks until the key's version differs from version and
	// returns the entry, or ErrKeyNotFound once the key is gone. A
	// restored store may show a lower version.
	Watch(ctx context.Context, key string, version uint64) (KeyValueEntry, error)
	// Grant makes a lease that ends ttl after its last KeepAlive.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive prolongs a lease, or returns ErrLeaseNotFound.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
}
