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

// handClock advances only by hand. Waits that are not on fire block.
type handClock struct {
	mu   sync.Mutex
	now  time.Time
	tick chan time.Time
	idle chan struct{} // Receives once per wait for the tick.
}

func (c *handClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *handClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

func (c *handClock) After(d time.Duration) <-chan time.Time {
	if d == testTTL/3 {
		c.idle <- struct{}{}
		return c.tick
	}
	return instantly(d)
}

func newExecutor(kv backing.KeyValue, name string, minFence core.Fence) (*configuration.Executor, *handClock) {
	clock := &handClock{now: time.Unix(1000, 0), tick: make(chan time.Time), idle: make(chan struct{}, 16)}
	return configuration.NewExecutor(configuration.ExecutorConfig{
		KeyValue: kv,
		Clock:    configuration.Clock{Now: clock.Now, After: clock.After},
		Holder:   name,
		TTL:      testTTL,
		MinFence: func() core.Fence { return minFence },
		Logger:   slog.New(slog.NewTextHandler(io.Discard, nil)),
	}), clock
}

func campaign(t *testing.T, e *configuration.Executor) *configuration.Tenure {
	t.Helper()
	tenure, err := e.Campaign(t.Context())
	assert.NilError(t, err)
	return tenure
}

func TestFencesGrowOverHolders(t *testing.T) {
	kv := newMemoryKeyValue()
	kv.faults = []fault{faultNone, faultNone, faultNone, faultLostAfter, faultNone, faultNone, faultLostAfter}
	first, _ := newExecutor(kv, "a", 0)
	second, _ := newExecutor(kv, "b", 0)
	held := campaign(t, first)
	next := make(chan *configuration.Tenure)
	go func() {
		tenure, _ := second.Campaign(context.Background())
		next <- tenure
	}()
	held.Resign()
	taken := <-next
	assert.Assert(t, taken.Fence > held.Fence)
	kv.restore(configuration.FenceKey, backing.KeyValueEntry{}, false)
	taken.Resign()
	third, _ := newExecutor(kv, "c", taken.Fence)
	assert.Assert(t, campaign(t, third).Fence > taken.Fence)
}

func TestPausedHolderNotices(t *testing.T) {
	kv := newMemoryKeyValue()
	executor, clock := newExecutor(kv, "a", 0)
	tenure := campaign(t, executor)
	assert.Assert(t, tenure.Valid(clock.Now()))
	clock.advance(testTTL)
	assert.Assert(t, !tenure.Valid(clock.Now()))
	clock.tick <- clock.Now()
	<-tenure.Done
}

func TestHolderOutlivesShortOutageOnly(t *testing.T) {
	kv := newMemoryKeyValue()
	executor, clock := newExecutor(kv, "a", 0)
	tenure := campaign(t, executor)
	beat := func(f fault) {
		<-clock.idle
		clock.advance(testTTL / 3)
		kv.mu.Lock()
		kv.faults = []fault{f}
		kv.mu.Unlock()
		clock.tick <- clock.Now()
	}
	beat(faultNone)
	beat(faultUnavailable)
	beat(faultNone)
	assert.Assert(t, tenure.Valid(clock.Now()))
	beat(faultUnavailable)
	beat(faultUnavailable)
	beat(faultUnavailable)
	<-tenure.Done
}

func TestLapsedLeaseEndsTenure(t *testing.T) {
	kv := newMemoryKeyValue()
	executor, clock := newExecutor(kv, "a", 0)
	tenure := campaign(t, executor)
	kv.expire(1)
	clock.tick <- clock.Now()
	<-tenure.Done
	assert.Assert(t, !tenure.Valid(clock.Now()))
}
