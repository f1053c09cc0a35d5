package sharedrate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func at(ms int) time.Time {
	return epoch.Add(time.Duration(ms) * time.Millisecond)
}

// firstDeployment is the rule of the deployment with cold endpoints, and coldBound what it
// allows within one second.
var firstDeployment = ColdRule{PerSecond: 36, Excess: 1.5, Extra: 5}

const coldBound = 59

// mostInOneSecond returns the largest number of times within any one second.
func mostInOneSecond(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i, t := range times {
		for t.Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// sender is an entry with requests for one endpoint that always wait.
type sender struct {
	bucket  Bucket
	entries int // The number by which it divides.
}

func newSenders(random *rand.Rand, start time.Time, counts ...int) []*sender {
	var senders []*sender
	for _, n := range counts {
		senders = append(senders, &sender{bucket: NewBucket(start, random.Float64()), entries: n})
	}
	return senders
}

// send sends as many requests as the share allows.
func (s *sender) send(now time.Time, rule ColdRule) (sent []time.Time) {
	share, ok := rule.Share(s.entries)
	for ok && s.bucket.Level(now, share) >= 1 {
		s.bucket.Take(now, share)
		sent = append(sent, now)
	}
	return sent
}

// sendUnenforced sends requests before the coldness is known.
func (s *sender) sendUnenforced(now time.Time, rule ColdRule, requests int) (sent []time.Time) {
	share, _ := rule.Share(s.entries)
	for range requests {
		s.bucket.Take(now, share)
		sent = append(sent, now)
	}
	return sent
}

func repeat(n, count int) []int {
	counts := make([]int, n)
	for i := range counts {
		counts[i] = count
	}
	return counts
}

// Load: an engine returns cold while requests wait at all entries, which send at each chance.
// Guards against a second above what the engine bears, and against shares of which a part is
// never used.
func TestWaitingRequestsUseTheSharesAndNoMore(t *testing.T) {
	for entries, most := range map[int]int{1: 37, 11: 47, 16: 52, 17: 53, 36: 53} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			senders := newSenders(rand.New(rand.NewPCG(1, 1)), at(0), repeat(entries, entries)...)
			var sent []time.Time
			for ms := 0; ms < 5000; ms++ {
				for _, s := range senders {
					sent = append(sent, s.send(at(ms), firstDeployment)...)
				}
			}
			assert.Assert(t, mostInOneSecond(sent) <= most, "%d", mostInOneSecond(sent))
			share, _ := firstDeployment.Share(entries)
			rate := float64(len(sent)) / 5
			assert.Assert(t, rate > 0.95*share.PerSecond*float64(entries), "%v a second", rate)
		})
	}
}

// Guards against a share for more entries than the bound can be divided among, and against one
// for an unknown number or from a bad figure.
func TestNothingIsSharedWhereTheRateIsTooLow(t *testing.T) {
	for name, c := range map[string]struct {
		rule    ColdRule
		entries int
	}{
		"50 entries":          {firstDeployment, 50},
		"255 entries":         {firstDeployment, 255},
		"unknown number":      {firstDeployment, 0},
		"negative number":     {firstDeployment, -1},
		"no requests":         {ColdRule{Excess: 1.5, Extra: 5}, 1},
		"negative rate":       {ColdRule{PerSecond: -36, Excess: 1.5, Extra: 5}, 1},
		"not a number":        {ColdRule{PerSecond: math.NaN(), Excess: 1.5, Extra: 5}, 1},
		"excess not a number": {ColdRule{PerSecond: 36, Excess: math.NaN(), Extra: 5}, 1},
	} {
		_, ok := c.rule.Share(c.entries)
		assert.Assert(t, !ok, name)
	}
	share, ok := ColdRule{PerSecond: 2, Excess: 4}.Share(1)
	assert.Assert(t, ok, "a low limit of its own is no low share")
	assert.Equal(t, share.PerSecond, 2.0)
}

// Load: each of 11 entries sends two or three prompts at once to an engine that has just
// returned, and learns of its coldness up to 0.9 s later. Guards against buckets that are full
// at that moment: 33 requests before it and 47 after it within one second.
func TestRequestsBeforeTheColdnessIsKnownCount(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		senders := newSenders(random, at(-5000), repeat(11, 11)...)
		learnsAt := make([]int, len(senders))
		var sent []time.Time
		for i, s := range senders {
			sentAt := random.IntN(200)
			sent = append(sent, s.sendUnenforced(at(sentAt), firstDeployment, 2+random.IntN(2))...)
			learnsAt[i] = sentAt + random.IntN(900)
		}
		for ms := range 3000 {
			for i, s := range senders {
				if ms >= learnsAt[i] {
					sent = append(sent, s.send(at(ms), firstDeployment)...)
				}
			}
		}
		assert.Assert(t, mostInOneSecond(sent) <= coldBound, "seed %d: %d", seed, mostInOneSecond(sent))
	}
}

// Load: an engine is cold while the 11 entries are cut into two groups, of which one, both or
// none is in touch with agents. Guards against groups that divide the whole rate among
// themselves: the agents on each side name only the entries there.
func TestBothSidesOfACutTogetherStayWithinTheBound(t *testing.T) {
	for left := range 12 {
		counts := make([]*EntryCount, 11)
		for i := range counts {
			counts[i] = NewEntryCount(at(0))
			counts[i].Observe(at(3000), 11)
		}
		for _, cutAt := range []time.Duration{time.Minute, 11 * time.Minute} {
			now := at(0).Add(cutAt)
			var divisors []int
			for i, count := range counts {
				count.Observe(now, 11)
				if i < left {
					count.Observe(now.Add(5*time.Second), left)
				} else {
					count.Observe(now.Add(5*time.Second), 11-left)
				}
				divisors = append(divisors, count.Value(now.Add(9*time.Minute)))
			}
			senders := newSenders(rand.New(rand.NewPCG(1, 1)), at(0), divisors...)
			var sent []time.Time
			for ms := range 3000 {
				for _, s := range senders {
					sent = append(sent, s.send(at(ms), firstDeployment)...)
				}
			}
			assert.Assert(t, mostInOneSecond(sent) <= 47, "%d on one side: %d", left, mostInOneSecond(sent))
		}
	}
}

// Load: entries start within a cut and hear of themselves only. Guards against one that takes
// the whole rate beside the shares of the others.
func TestEntriesThatStartWithinACutStayWithinTheBound(t *testing.T) {
	alone := NewEntryCount(at(0))
	alone.Observe(at(100), 1)
	started := alone.Value(at(200))
	for name, divisors := range map[string][]int{
		"one of 11": append(repeat(10, 11), started),
		"all of 19": repeat(19, started),
	} {
		var sent []time.Time
		for i, s := range newSenders(rand.New(rand.NewPCG(1, 1)), at(0), divisors...) {
			s.bucket = NewBucket(at(i), 1)
			for ms := i; ms < 3000; ms++ {
				sent = append(sent, s.send(at(ms), firstDeployment)...)
			}
		}
		assert.Assert(t, mostInOneSecond(sent) <= coldBound, "%s: %d", name, mostInOneSecond(sent))
	}
}

// Guards against a burst of an entry that was frozen, and against a debt that outlasts a second
// after many requests that were sent before the coldness was known.
func TestBucketForgetsPausesAndOldDebts(t *testing.T) {
	share, ok := firstDeployment.Share(11)
	assert.Assert(t, ok)
	frozen := &sender{bucket: NewBucket(at(0), 1), entries: 11}
	assert.Equal(t, len(frozen.send(at(60_000), firstDeployment)), 1)

	busy := &sender{bucket: NewBucket(at(0), 1), entries: 11}
	busy.sendUnenforced(at(0), firstDeployment, 100)
	assert.Equal(t, busy.bucket.Level(at(0), share), -share.MaxDebt)
	assert.Equal(t, len(busy.send(at(1000), firstDeployment)), 0)
	assert.Equal(t, len(busy.send(at(1320), firstDeployment)), 1)
}

// Guards against a refund of more than was charged, which would let a request through for each
// one that was withdrawn.
func TestWithdrawnRequestGivesBackItsCharge(t *testing.T) {
	share, _ := firstDeployment.Share(11)
	bucket := NewBucket(at(0), 0)
	for range 20 {
		bucket.Take(at(0), share)
	}
	taken := bucket.Take(at(0), share)
	assert.Equal(t, taken, 0.0)
	bucket.GiveBack(taken)
	assert.Equal(t, bucket.Level(at(0), share), -share.MaxDebt)
	// A clock that goes back refills nothing.
	assert.Equal(t, bucket.Level(at(-5000), share), -share.MaxDebt)
}

// Load: engines that are cold from one time on, entries that learn of it late, stand still,
// start, or use a larger number of entries. The sum of any second stays within the bound.
func TestAnySecondStaysWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 36).Draw(t, "entries")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		// Before the coldness is known, an entry sends what the free slots allow.
		early := rapid.IntRange(0, min(3, coldBound/entries)).Draw(t, "early")
		var sent []time.Time
		for _, s := range newSenders(random, at(-2000), repeat(entries, entries)...) {
			s.entries += rapid.IntRange(0, 20).Draw(t, "assumed")
			if _, ok := firstDeployment.Share(s.entries); !ok {
				continue
			}
			startsAt := random.IntN(1000)
			frozenFrom := random.IntN(3000)
			frozenUntil := frozenFrom + random.IntN(2000)
			sent = append(sent, s.sendUnenforced(at(random.IntN(100)), firstDeployment, early)...)
			for ms := startsAt; ms < 3000; ms += 1 + random.IntN(20) {
				if ms < frozenFrom || ms >= frozenUntil {
					sent = append(sent, s.send(at(ms), firstDeployment)...)
				}
			}
		}
		if most := mostInOneSecond(sent); most > coldBound {
			t.Fatalf("%d requests within one second", most)
		}
	})
}
