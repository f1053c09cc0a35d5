package backing

import (
	"context"
	"errors"
	"time"
)

// The calls of the key-value service, as reported to an Observer.
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

// KeyValueCalls lists the names of all calls of the key-value service.
var KeyValueCalls = []string{
	CallGet, CallCompareAndSwap, CallDelete, CallList, CallWatch, CallGrant, CallKeepAlive, CallRevoke,
}

// Observer is called at the end of each call of the key-value service. failed is
// false for proper responses such as a conflict and for calls whose context ended.
type Observer func(call string, failed bool)

// observedKeyValue reports every call to an observer.
type observedKeyValue struct {
	inner   KeyValue
	observe Observer
}

// NewObservedKeyValue wraps inner and reports every call to observe, which must
// not block.
func NewObservedKeyValue(inner KeyValue, observe Observer) KeyValue {
	return &observedKeyValue{inner: inner, observe: observe}
}

func (k *observedKeyValue) notify(ctx context.Context, call string, err error) {
	k.observe(call, ctx.Err() == nil && isFailure(err))
}

// isFailure reports whether err means that the call got no proper response.
func isFailure(err error) bool {
	var conflict *ConflictError
	switch {
	case err == nil, errors.Is(err, ErrKeyNotFound), errors.Is(err, ErrLeaseNotFound):
		return false
	}
	return !errors.As(err, &conflict)
}

// Get implements KeyValue.
func (k *observedKeyValue) Get(ctx context.Context, key string) (KeyValueEntry, error) {
	entry, err := k.inner.Get(ctx, key)
	k.notify(ctx, CallGet, err)
	return entry, err
}

// CompareAndSwap implements KeyValue.
func (k *observedKeyValue) CompareAndSwap(ctx context.Context, key string, version uint64, value []byte, lease LeaseID) (uint64, error) {
	newVersion, err := k.inner.CompareAndSwap(ctx, key, version, value, lease)
	k.notify(ctx, CallCompareAndSwap, err)
	return newVersion, err
}

// Delete implements KeyValue.
func (k *observedKeyValue) Delete(ctx context.Context, key string, version uint64) error {
	err := k.inner.Delete(ctx, key, version)
	k.notify(ctx, CallDelete, err)
	return err
}

// List implements KeyValue.
func (k *observedKeyValue) List(ctx context.Context, prefix, after string, limit int) ([]KeyValueEntry, error) {
	entries, err := k.inner.List(ctx, prefix, after, limit)
	k.notify(ctx, CallList, err)
	return entries, err
}

// Watch implements KeyValue.
func (k *observedKeyValue) Watch(ctx context.Context, key string, version uint64) (KeyValueEntry, error) {
	entry, err := k.inner.Watch(ctx, key, version)
	k.notify(ctx, CallWatch, err)
	return entry, err
}

// Grant implements KeyValue.
func (k *observedKeyValue) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	lease, err := k.inner.Grant(ctx, ttl)
	k.notify(ctx, CallGrant, err)
	return lease, err
}

// KeepAlive implements KeyValue.
func (k *observedKeyValue) KeepAlive(ctx context.Context, lease LeaseID) error {
	err := k.inner.KeepAlive(ctx, lease)
	k.notify(ctx, CallKeepAlive, err)
	return err
}

// Revoke implements KeyValue.
func (k *observedKeyValue) Revoke(ctx context.Context, lease LeaseID) error {
	err := k.inner.Revoke(ctx, lease)
	k.notify(ctx, CallRevoke, err)
	return err
}
