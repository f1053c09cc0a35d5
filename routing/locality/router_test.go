package locality

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	own = iota
	near
	far
)

// newRouter returns a router with three failure domains of 132 slots.
func newRouter(price time.Duration) *Router {
	r := NewRouter("own", price)
	r.SetDomains([]string{"own", "near", "far"})
	r.UpdateOwn(132, 132)
	return r
}

func sumsWithFree(free ...int) []Sums {
	var sums []Sums
	for _, n := range free {
		sums = append(sums, Sums{Slots: 132, Free: n})
	}
	return sums
}

// Guards against failure domains that exchange requests while all are full.
func TestFullFailureDomainsOfferNothing(t *testing.T) {
	r := newRouter(0)
	r.Update(sumsWithFree(0, 0, 13), 11)
	for _, domain := range []int{near, far} {
		assert.Equal(t, r.MayLeave(domain, time.Second, 0), KeptNoOffer)
		assert.Equal(t, r.Unused(domain), 0)
	}
}

// Guards against offers that come and go with each report.
func TestOfferHoldsBetweenItsThresholds(t *testing.T) {
	r := newRouter(0)
	for _, step := range []struct {
		free   int
		offers bool
	}{{13, false}, {14, true}, {13, true}, {7, true}, {6, false}, {13, false}, {14, true}} {
		r.Update(sumsWithFree(0, step.free, 0), 11)
		assert.Equal(t, r.MayLeave(near, time.Second, 0) == MayLeave, step.offers, "%d free", step.free)
	}
	assert.Equal(t, len(r.TakeChanges()), 3)
	assert.Equal(t, len(r.TakeChanges()), 0)
}

func TestPartIsDividedAmongEntriesOfFullFailureDomains(t *testing.T) {
	r := newRouter(0)
	r.Update(sumsWithFree(0, 67, 0), 12)
	assert.Assert(t, math.Abs(r.Offer(near)-(67-6.6)/8) < 1e-9) // Two of three are full: 8 of 12 entries.
	sums := sumsWithFree(0, 67, 0)
	sums[near].Uncovered = 6
	r.Update(sums, 12)
	assert.Equal(t, r.MayLeave(near, time.Second, 0), MayLeave)
	r.RecordSent(near)
	assert.Equal(t, r.MayLeave(near, time.Second, 0), KeptPartUsed)
}

func TestRequestLeavesOnlyIfItsWaitExceedsTheCost(t *testing.T) {
	r := newRouter(500 * time.Microsecond)
	r.Update(sumsWithFree(0, 60, 0), 11)
	cost := r.Cost(4*time.Millisecond, 10*time.Millisecond, 4)
	assert.Equal(t, cost, 16*time.Millisecond)
	assert.Equal(t, r.MayLeave(near, 16*time.Millisecond, cost), KeptByCost)
	assert.Equal(t, r.MayLeave(near, 17*time.Millisecond, cost), MayLeave)
}

// Guards against requests that are sent over a link which is cut in their direction only.
func TestTwoEndpointsThatOweFirstEventsEndTheOffer(t *testing.T) {
	r := newRouter(0)
	sums := sumsWithFree(0, 60, 60)
	sums[near].Overdue, sums[far].Overdue = 2, 1
	r.Update(sums, 11)
	assert.Equal(t, r.MayLeave(near, time.Second, 0), KeptNoOffer)
	assert.Equal(t, r.MayLeave(far, time.Second, 0), MayLeave)
}

func TestNothingIsOfferedWhileTheNumberOfEntriesIsUnknown(t *testing.T) {
	r := newRouter(0)
	r.Update(sumsWithFree(0, 60, 60), 0)
	assert.Equal(t, r.MayLeave(near, time.Second, 0), KeptNoOffer)
}

func TestOwnFailureDomainIsTooSmallBetweenItsThresholds(t *testing.T) {
	r := newRouter(0)
	for _, step := range []struct {
		usable   int
		tooSmall bool
	}{{66, false}, {65, true}, {79, true}, {80, false}, {66, false}, {0, true}} {
		r.UpdateOwn(step.usable, 132)
		assert.Equal(t, r.OwnIsTooSmall(), step.tooSmall, "%d usable", step.usable)
	}
	r.UpdateOwn(0, 0)
	assert.Assert(t, r.OwnIsTooSmall())
	assert.Assert(t, TooSmallWithout(12, 24, 36))
	assert.Assert(t, !TooSmallWithout(0, 12, 36))
}

func TestListedFailureDomainsKeepTheirState(t *testing.T) {
	r := newRouter(0)
	r.Update(sumsWithFree(0, 14, 0), 11)
	r.SetDomains([]string{"near", "own"})
	r.Update([]Sums{{Slots: 132, Free: 13}, {Slots: 132}}, 11)
	assert.Equal(t, r.MayLeave(0, time.Second, 0), MayLeave)
}

// Guards against entries that send more than is offered: those of the full failure domains use at
// most the offer together if all read the same report, or one request each.
func TestPartsOfAllEntriesStayWithinTheOffer(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 20_000 {
		perDomain := 1 + random.IntN(6)
		slots := 12 * (1 + random.IntN(20))
		sums := []Sums{{Slots: slots}, {Slots: slots, Free: random.IntN(slots + 1)}, {Slots: slots}}
		sent := 0
		for _, name := range []string{"own", "far"} {
			for range perDomain {
				r := NewRouter(name, 0)
				r.SetDomains([]string{"own", "near", "far"})
				r.Update(sums, 3*perDomain)
				for r.MayLeave(near, time.Second, 0) == MayLeave {
					r.RecordSent(near)
					sent++
				}
			}
		}
		assert.Assert(t, sent <= max(sums[near].Free, 2*perDomain), "%d sent, %d free, %d entries in each failure domain", sent, sums[near].Free, perDomain)
	}
}
