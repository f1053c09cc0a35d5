package configuration_test

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/configuration"
	"github.com/snipestep/snipestep/core"
)

const testTTL = 6 * time.Second

// manualClock only moves by advance. Waits for the renewal interval block until
// tick; other waits return at once.
type manualClock struct {
	mu      sync.Mutex
	now     time.Time
	tick    chan time.Time
	waiting chan struct{} // Receives once per wait for tick.
}

func (c *manualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

func (c *manualClock) After(d time.Duration) <-chan time.Time {
	if d == testTTL/3 {
		c.waiting <- struct{}{}
		return c.tick
	}
	return fireAtOnce(d)
}

func newElection(kv backing.KeyValue, holder string, minFence core.Fence) (*configuration.Election, *manualClock) {
	clock := &manualClock{now: time.Unix(1000, 0), tick: make(chan time.Time), waiting: make(chan struct{}, 16)}
	return configuration.NewElection(configuration.ElectionConfig{
		KeyValue: kv,
		Clock:    configuration.Clock{Now: clock.Now, After: clock.After},
		HolderID: holder,
		TTL:      testTTL,
		MinFence: func() core.Fence { return minFence },
		Logger:   slog.New(slog.NewTextHandler(io.Discard, nil)),
	}), clock
}

func campaign(t *testing.T, e *configuration.Election) *configuration.ExecutorLease {
	t.Helper()
	lease, err := e.Campaign(t.Context())
	assert.NilError(t, err)
	return lease
}

func TestFenceGrowsWithEachHolder(t *testing.T) {
	kv := newMemoryKeyValue()
	kv.faults = []fault{faultNone, faultNone, faultNone, faultLostResponse, faultNone, faultNone, faultLostResponse}
	first, _ := newElection(kv, "a", 0)
	second, _ := newElection(kv, "b", 0)
	firstLease := campaign(t, first)
	acquired := make(chan *configuration.ExecutorLease)
	go func() {
		lease, _ := second.Campaign(context.Background())
		acquired <- lease
	}()
	firstLease.Release()
	secondLease := <-acquired
	assert.Assert(t, secondLease.Fence > firstLease.Fence)
	kv.restore(configuration.FenceKey, backing.KeyValueEntry{}, false)
	secondLease.Release()
	third, _ := newElection(kv, "c", secondLease.Fence)
	assert.Assert(t, campaign(t, third).Fence > secondLease.Fence)
}

func TestLeaseIsInvalidAfterPause(t *testing.T) {
	kv := newMemoryKeyValue()
	election, clock := newElection(kv, "a", 0)
	lease := campaign(t, election)
	assert.Assert(t, lease.Valid())
	clock.advance(testTTL)
	assert.Assert(t, !lease.Valid())
	clock.tick <- clock.Now()
	<-lease.Done
}

func TestLeaseSurvivesShortOutageOnly(t *testing.T) {
	kv := newMemoryKeyValue()
	election, clock := newElection(kv, "a", 0)
	lease := campaign(t, election)
	renewWith := func(f fault) {
		<-clock.waiting
		clock.advance(testTTL / 3)
		kv.mu.Lock()
		kv.faults = []fault{f}
		kv.mu.Unlock()
		clock.tick <- clock.Now()
	}
	renewWith(faultNone)
	renewWith(faultUnavailable)
	renewWith(faultNone)
	assert.Assert(t, lease.Valid())
	renewWith(faultUnavailable)
	renewWith(faultUnavailable)
	renewWith(faultUnavailable)
	<-lease.Done
}

func TestExpiredLeaseIsDone(t *testing.T) {
	kv := newMemoryKeyValue()
	election, clock := newElection(kv, "a", 0)
	lease := campaign(t, election)
	kv.expire(1)
	clock.tick <- clock.Now()
	<-lease.Done
	assert.Assert(t, !lease.Valid())
}
