package fakes_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/internal/fakes"
)

// manualClock is a clock that moves only by Advance.
type manualClock struct {
	mu  sync.Mutex
	now time.Time
}

func newManualClock() *manualClock {
	return &manualClock{now: time.Unix(1000, 0)}
}

func (c *manualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) Advance(duration time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(duration)
}

func startKeyValue(t *testing.T) (*fakes.KeyValue, *backing.HTTPKeyValue, *manualClock) {
	t.Helper()
	clock := newManualClock()
	service := fakes.NewKeyValue(clock.Now)
	server := httptest.NewServer(service)
	t.Cleanup(server.Close)
	return service, backing.NewHTTPKeyValue(backing.HTTPConfig{BaseURL: server.URL, Client: server.Client()}), clock
}

func TestKeyValueCompareAndSwapRequiresExpectedVersion(t *testing.T) {
	_, client, _ := startKeyValue(t)
	ctx := t.Context()
	version, err := client.CompareAndSwap(ctx, "a/b c", 0, []byte("one"), 0)
	assert.NilError(t, err)
	assert.Equal(t, version, uint64(1))
	_, err = client.CompareAndSwap(ctx, "a/b c", 0, []byte("two"), 0)
	var conflict *backing.ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	assert.Equal(t, conflict.CurrentVersion, uint64(1))
	assert.NilError(t, client.Delete(ctx, "a/b c", 1))
	_, err = client.Get(ctx, "a/b c")
	assert.ErrorIs(t, err, backing.ErrKeyNotFound)
	version, err = client.CompareAndSwap(ctx, "a/b c", 0, nil, 0)
	assert.NilError(t, err)
	assert.Equal(t, version, uint64(2), "versions never repeat")
}

func TestKeyValueListsInPages(t *testing.T) {
	_, client, _ := startKeyValue(t)
	for _, key := range []string{"x/2", "x/1", "y/1", "x/3"} {
		_, err := client.CompareAndSwap(t.Context(), key, 0, []byte(key), 0)
		assert.NilError(t, err)
	}
	page, err := client.List(t.Context(), "x/", "x/1", 1)
	assert.NilError(t, err)
	assert.DeepEqual(t, page, []backing.KeyValueEntry{{Key: "x/2", Value: []byte("x/2"), Version: 1}})
}

func TestKeyValueWriteWithDroppedResponseTakesEffect(t *testing.T) {
	service, client, _ := startKeyValue(t)
	service.SetDroppedResponseRatio(1, 1)
	_, err := client.CompareAndSwap(t.Context(), "k", 0, []byte("v"), 0)
	var unknown *backing.UnknownOutcomeError
	assert.Assert(t, errors.As(err, &unknown), "got %v", err)
	entry, err := client.Get(t.Context(), "k")
	assert.NilError(t, err)
	assert.Equal(t, entry.Version, uint64(1), "the write was sent once")
	assert.Equal(t, service.Counts().DroppedResponses, uint64(1))
}

func TestKeyValueWriteDuringOutageTakesNoEffect(t *testing.T) {
	service, client, _ := startKeyValue(t)
	service.SetDown(true)
	_, err := client.CompareAndSwap(t.Context(), "k", 0, []byte("v"), 0)
	var unavailable *backing.UnavailableError
	assert.Assert(t, errors.As(err, &unavailable), "got %v", err)
	service.SetDown(false)
	_, err = client.Get(t.Context(), "k")
	assert.ErrorIs(t, err, backing.ErrKeyNotFound)
}

func TestKeyValueExpiredLeaseEndsWatch(t *testing.T) {
	service, client, clock := startKeyValue(t)
	ctx := t.Context()
	lease, err := client.Grant(ctx, time.Minute)
	assert.NilError(t, err)
	_, err = client.CompareAndSwap(ctx, "held", 0, []byte("me"), lease)
	assert.NilError(t, err)
	clock.Advance(50 * time.Second)
	assert.NilError(t, client.KeepAlive(ctx, lease))
	clock.Advance(50 * time.Second)
	_, err = client.Get(ctx, "held")
	assert.NilError(t, err)
	watched := make(chan error, 1)
	go func() {
		_, err := client.Watch(ctx, "held", 1)
		watched <- err
	}()
	clock.Advance(time.Minute)
	service.ExpireLeases()
	assert.ErrorIs(t, <-watched, backing.ErrKeyNotFound)
	assert.ErrorIs(t, client.KeepAlive(ctx, lease), backing.ErrLeaseNotFound)
}

func TestKeyValueWatchReturnsRestoredContent(t *testing.T) {
	service, client, _ := startKeyValue(t)
	ctx := t.Context()
	_, err := client.CompareAndSwap(ctx, "k", 0, []byte("old"), 0)
	assert.NilError(t, err)
	snapshot := service.Snapshot()
	_, err = client.CompareAndSwap(ctx, "k", 1, []byte("new"), 0)
	assert.NilError(t, err)
	service.Restore(snapshot)
	entry, err := client.Watch(ctx, "k", 2)
	assert.NilError(t, err)
	assert.Equal(t, string(entry.Value), "old")
	assert.Equal(t, entry.Version, uint64(1))
}

func TestKeyValueOutageEndsWatch(t *testing.T) {
	service, client, _ := startKeyValue(t)
	watched := make(chan error, 1)
	go func() {
		_, err := client.Watch(context.Background(), "k", 0)
		watched <- err
	}()
	service.SetDown(true)
	var unavailable *backing.UnavailableError
	assert.Assert(t, errors.As(<-watched, &unavailable))
}

func TestKeyValueRejectsOversizedValue(t *testing.T) {
	_, client, _ := startKeyValue(t)
	_, err := client.CompareAndSwap(t.Context(), "k", 0, make([]byte, backing.MaxValueBytes+1), 0)
	var rejected *backing.RejectedError
	assert.Assert(t, errors.As(err, &rejected), "got %v", err)
	assert.Equal(t, rejected.Code, backing.CodeTooLarge)
}
