package claim

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/core"
)

// claimKey flushes one request at an owner and returns its verdict.
func claimKey(o *Owner, key, claimID string) Verdict {
	j := newClaimJob(Request{Key: key, ClaimID: claimID})
	o.flush(context.Background(), []*job{j})
	return (<-j.results).verdict
}

// reportOutcome flushes one outcome at an owner.
func reportOutcome(o *Owner, outcome Outcome) error {
	j := newOutcomeJob(outcome)
	o.flush(context.Background(), []*job{j})
	return (<-j.results).err
}

type fixture struct {
	kv        *testKeyValue
	now       time.Time
	suspended time.Duration
	lastBatch int
}

func newFixture() *fixture {
	return &fixture{kv: newTestKeyValue(), now: epoch}
}

func (f *fixture) newOwner() *Owner {
	return NewOwner(OwnerConfig{
		KeyValue: f.kv,
		TTL:      testTTL,
		Now:      func() time.Time { return f.now },
		BootNow:  func() time.Time { return f.now.Add(f.suspended) },
		NewID: func() string {
			f.lastBatch++
			return fmt.Sprintf("batch-%d", f.lastBatch)
		},
	})
}

func TestResentKeyGetsTheOutcomeFromAnotherOwner(t *testing.T) {
	f := newFixture()
	first := f.newOwner()
	assert.Equal(t, claimKey(first, "k", "c1").Kind, Granted)
	assert.Equal(t, claimKey(f.newOwner(), "k", "c2").Kind, Held)
	assert.NilError(t, reportOutcome(first, Outcome{Key: "k", ClaimID: "c1", Status: 201, Body: []byte("stamp")}))
	assert.DeepEqual(t, claimKey(f.newOwner(), "k", "c3"), Verdict{Kind: Done, Status: 201, Body: []byte("stamp")})
}

func TestLongBodyIsOmitted(t *testing.T) {
	f := newFixture()
	o := f.newOwner()
	claimKey(o, "k", "c1")
	assert.NilError(t, reportOutcome(o, Outcome{Key: "k", ClaimID: "c1", Status: 200, Body: make([]byte, MaxBodySize+1)}))
	assert.DeepEqual(t, claimKey(o, "k", "c2"), Verdict{Kind: Done, Status: 200, BodyOmitted: true})
}

func TestOutageRefusesAtOnceAndRecovers(t *testing.T) {
	f := newFixture()
	o := f.newOwner()
	f.kv.beforeCall = func() fault { return faultUnavailable }
	assert.Equal(t, claimKey(o, "k", "c1").Kind, Refused)
	f.kv.beforeCall = func() fault { return faultNone }
	assert.Equal(t, claimKey(o, "k", "c2").Kind, Refused, "requests are refused during storeBackoff")
	f.now = f.now.Add(storeBackoff)
	assert.Equal(t, claimKey(o, "k", "c3").Kind, Granted)
}

func TestRefusedClaimWithDelayedWriteIsVoided(t *testing.T) {
	f := newFixture()
	o := f.newOwner()
	calls := 0
	f.kv.beforeCall = func() fault {
		calls++
		if calls == 2 { // The write, after the first read.
			return faultDelayedWrite
		}
		return faultNone
	}
	assert.Equal(t, claimKey(o, "k", "c1").Kind, Refused)
	assert.Equal(t, len(f.kv.delayed), 1)
	f.kv.applyDelayed()
	f.now = f.now.Add(syncInterval)
	assert.Equal(t, claimKey(o, "k", "c2").Kind, Held)
	assert.Equal(t, claimKey(o, "k", "c3").Kind, Granted)
}

func TestClaimsSurviveStoreRollback(t *testing.T) {
	f := newFixture()
	o := f.newOwner()
	assert.Equal(t, claimKey(o, "old", "c1").Kind, Granted)
	backup := maps.Clone(f.kv.entries)
	assert.Equal(t, claimKey(o, "k", "c2").Kind, Granted)
	assert.NilError(t, reportOutcome(o, Outcome{Key: "k", ClaimID: "c2", Status: 201}))
	f.kv.entries = backup
	f.now = f.now.Add(syncInterval)
	assert.Equal(t, claimKey(o, "k", "c3").Kind, Done)
	assert.Equal(t, claimKey(f.newOwner(), "k", "c4").Kind, Done)
}

// An owner whose machine had been suspended took its view of the log for recent, and
// granted a key that another owner had granted meanwhile, under a sequence number that
// had been used and deleted.
func TestSuspendedOwnerDoesNotGrantAKeyThatIsHeld(t *testing.T) {
	f := newFixture()
	suspended := f.newOwner()
	assert.Equal(t, claimKey(suspended, "before", "c").Kind, Granted)
	other := &fixture{kv: f.kv, now: f.now, lastBatch: 1000}
	o := other.newOwner()
	const steps = 100
	for i := range steps {
		assert.Equal(t, claimKey(o, fmt.Sprint(i), fmt.Sprint(i)).Kind, Granted)
		other.now = other.now.Add(testTTL / 10)
	}
	assert.Equal(t, claimKey(o, "k", "other").Kind, Granted)

	f.suspended = other.now.Sub(f.now)

	assert.Equal(t, claimKey(suspended, "k", "mine").Kind, Held)
}

func TestExpiredEntriesAreDeleted(t *testing.T) {
	f := newFixture()
	o := f.newOwner()
	const steps = 100
	for i := range steps {
		assert.Equal(t, claimKey(o, fmt.Sprint(i), fmt.Sprint(i)).Kind, Granted)
		f.now = f.now.Add(testTTL / 10)
	}
	maxEntries := int((testTTL+defaultClockSkew)/(testTTL/10)) + 1
	assert.Assert(t, len(f.kv.entries) <= maxEntries, "%d entries", len(f.kv.entries))
	assert.Assert(t, len(o.state.claims) <= maxEntries)
}

func TestConcurrentClaimsAreGrantedOnce(t *testing.T) {
	defer goleak.VerifyNone(t)
	kv := newTestKeyValue()
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	var owners []*Owner
	for range 2 {
		o := NewOwner(OwnerConfig{KeyValue: kv, BatchInterval: time.Millisecond})
		owners = append(owners, o)
		running.Go(func() { assert.Check(t, o.Run(ctx)) })
	}
	const keys, callers = 50, 8
	var mu sync.Mutex
	granted := make(map[string]int)
	var calls sync.WaitGroup
	for c := range callers {
		calls.Go(func() {
			for k := range keys {
				key := fmt.Sprint(k)
				verdict, err := owners[c%2].Claim(ctx, Request{Key: key, ClaimID: fmt.Sprintf("%d-%d", c, k)})
				assert.Check(t, err)
				if verdict.Kind == Granted {
					mu.Lock()
					granted[key]++
					mu.Unlock()
				}
			}
		})
	}
	calls.Wait()
	for k := range keys {
		assert.Equal(t, granted[fmt.Sprint(k)], 1)
	}
	stop()
	running.Wait()
	_, err := owners[0].Claim(context.Background(), Request{Key: "late"})
	assert.Assert(t, errors.Is(err, ErrStopped))
}

func TestOwnerOfMovesOnlyShardsOfRemovedEntry(t *testing.T) {
	entryIDs := []core.InstanceID{"a", "b", "c", "d"}
	shardsByOwner := make(map[core.InstanceID]int)
	const shards = 256
	for shard := range shards {
		owner := OwnerOf(shard, entryIDs)
		shardsByOwner[owner]++
		if owner != "d" {
			assert.Equal(t, OwnerOf(shard, entryIDs[:3]), owner)
		}
	}
	for _, id := range entryIDs {
		assert.Assert(t, shardsByOwner[id] > shards/8, "%s owns %d", id, shardsByOwner[id])
	}
}

func TestAbandonedGrantIsVoided(t *testing.T) {
	f := newFixture()
	o := f.newOwner()
	j := newClaimJob(Request{Key: "k", ClaimID: "c1"})
	f.kv.afterCall = func() {
		if f.kv.writes > 0 {
			j.abandon()
		}
	}
	o.flush(context.Background(), []*job{j})
	f.kv.afterCall = func() {}
	assert.Equal(t, claimKey(f.newOwner(), "k", "c2").Kind, Held)
	o.flush(context.Background(), nil)
	assert.Equal(t, claimKey(f.newOwner(), "k", "c3").Kind, Granted)
}
