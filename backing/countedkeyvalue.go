package backing

import (
	"context"
	"errors"
	"time"
)

// The names of the key-value service's calls, as an Observer gets them.
const (
	CallGet            = "get"
	CallCompareAndSwap = "compare_and_swap"
	CallDelete         = "delete"
	CallList           = "list"
	CallWatch          = "watch"
	CallGrant          = "grant"
	CallKeepAlive      = "keep_alive"
	CallRevoke         = "revoke"
)

// KeyValueCalls are the names of all calls of the key-value service.
var KeyValueCalls = []string{
	CallGet, CallCompareAndSwap, CallDelete, CallList, CallWatch, CallGrant, CallKeepAlive, CallRevoke,
}

// Observer hears of each call of the key-value service when it ends. failed is
// false for answers such as a conflict and for calls that their caller ended.
type Observer func(call string, failed bool)

// countedKeyValue tells an observer of every call.
type countedKeyValue struct {
	inner   KeyValue
	observe Observer
}

// NewCountedKeyValue returns a service that tells observe of every call to
// inner. observe must not block.
func NewCountedKeyValue(inner KeyValue, observe Observer) KeyValue {
	return &countedKeyValue{inner: inner, observe: observe}
}

func (k *countedKeyValue) ended(ctx context.Context, call string, err error) {
	k.observe(call, ctx.Err() == nil && failed(err))
}

// failed reports whether the service gave no proper answer.
func failed(err error) bool {
	var conflict *ConflictError
	switch {
	case err == nil, errors.Is(err, ErrKeyNotFound), errors.Is(err, ErrLeaseNotFound):
		return false
	}
	return !errors.As(err, &conflict)
}

// Get implements KeyValue.
func (k *countedKeyValue) Get(ctx context.Context, key string) (KeyValueEntry, error) {
	entry, err := k.inner.Get(ctx, key)
	k.ended(ctx, CallGet, err)
	return entry, err
}

// CompareAndSwap implements KeyValue.
func (k *countedKeyValue) CompareAndSwap(ctx context.Context, key string, version uint64, value []byte, lease LeaseID) (uint64, error) {
	written, err := k.inner.CompareAndSwap(ctx, key, version, value, lease)
	k.ended(ctx, CallCompareAndSwap, err)
	return written, err
}

// Delete implements KeyValue.
func (k *countedKeyValue) Delete(ctx context.Context, key string, version uint64) error {
	err := k.inner.Delete(ctx, key, version)
	k.ended(ctx, CallDelete, err)
	return err
}

// List implements KeyValue.
func (k *countedKeyValue) List(ctx context.Context, prefix, after string, limit int) ([]KeyValueEntry, error) {
	entries, err := k.inner.List(ctx, prefix, after, limit)
	k.ended(ctx, CallList, err)
	return entries, err
}

// Watch implements KeyValue.
func (k *countedKeyValue) Watch(ctx context.Context, key string, version uint64) (KeyValueEntry, error) {
	entry, err := k.inner.Watch(ctx, key, version)
	k.ended(ctx, CallWatch, err)
	return entry, err
}

// Grant implements KeyValue.
func (k *countedKeyValue) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	lease, err := k.inner.Grant(ctx, ttl)
	k.ended(ctx, CallGrant, err)
	return lease, err
}

// KeepAlive implements KeyValue.
func (k *countedKeyValue) KeepAlive(ctx context.Context, lease LeaseID) error {
	err := k.inner.KeepAlive(ctx, lease)
	k.ended(ctx, CallKeepAlive, err)
	return err
}

// Revoke implements KeyValue.
func (k *countedKeyValue) Revoke(ctx context.Context, lease LeaseID) error {
	err := k.inner.Revoke(ctx, lease)
	k.ended(ctx, CallRevoke, err)
	return err
}
