package admission

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// sharedEndpoint is one endpoint with a rate limit, before several entries.
type sharedEndpoint struct {
	pools    []*Pool
	arrivals []time.Time
}

// newSharedEndpoint returns an endpoint before entries with the given demands.
func newSharedEndpoint(perSecond float64, demands []float64) *sharedEndpoint {
	total := 0.0
	for _, demand := range demands {
		total += demand
	}
	s := &sharedEndpoint{}
	lower := 0.0
	for i, demand := range demands {
		upper := lower + demand/total
		if i == len(demands)-1 {
			upper = 1
		}
		p := plainPool("a")
		p.SetRateLimitShare(RateLimitShare{Lower: lower, Upper: upper, Known: true, Entries: len(demands)})
		lower = upper
		announce(p, at(0), perSecond)
		s.pools = append(s.pools, p)
	}
	return s
}

// send submits requests at an entry, which end at once.
func (s *sharedEndpoint) send(now time.Time, entry, requests int) {
	for range requests {
		req := newRequest(now, 0)
		p := s.pools[entry]
		if decision := p.Submit(now, req); decision.Verdict == Start {
			s.arrivals = append(s.arrivals, now)
			p.Done(now, decision.EndpointID, req.ID, Served)
		}
		p.Remove(req.ID)
	}
}

// mostWithin returns the most arrivals within a window.
func (s *sharedEndpoint) mostWithin(window time.Duration) int {
	most, first := 0, 0
	for last, now := range s.arrivals {
		for now.Sub(s.arrivals[first]) >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// The rule: within limitWindow an endpoint gets at most one and a half times what its limit
// allows, and allowedExtra more.
const (
	limitWindow  = 4 * time.Second
	allowedExtra = 5
)

func allowedWithin(perSecond float64) int {
	return int(1.5*perSecond*limitWindow.Seconds()) + allowedExtra
}

// Guards against many entries that each save a request for a low limit and send it at the
// same time as the others: requests pause until every entry has saved all that it may.
func TestManyEntriesTogetherKeepToALowRateLimit(t *testing.T) {
	for _, entries := range []int{1, 5, 10, 30, 90} {
		for _, perSecond := range []float64{0, 0.2, 1, 2.1, 7, 40} {
			t.Run(fmt.Sprint(entries, " entries, ", perSecond), func(t *testing.T) {
				s := newSharedEndpoint(perSecond, slices.Repeat([]float64{1}, entries))
				for ms := 60_000; ms < 80_000; ms += 10 {
					for entry := range entries {
						s.send(at(ms), entry, 1)
					}
				}
				most := s.mostWithin(limitWindow)
				assert.Check(t, most <= allowedWithin(perSecond), "%d requests, %d allowed", most, allowedWithin(perSecond))
				// The limit is used, as far as requests come.
				least := int(math.Floor(perSecond * 20))
				assert.Check(t, len(s.arrivals) >= min(least, 20*100*entries), "%d requests", len(s.arrivals))
			})
		}
	}
}

// Guards against an entry that has no part of any limit where limits are low.
func TestLowRateLimitsOfSeveralEndpointsAreUsedByAllEntries(t *testing.T) {
	const entries, endpoints = 16, 40
	served := make(map[int]bool)
	for position := range entries {
		var ids []string
		for i := range endpoints {
			ids = append(ids, fmt.Sprint("i-", i))
		}
		p := plainPool(ids...)
		p.SetRateLimitShare(RateLimitShare{Lower: float64(position) / entries, Upper: float64(position+1) / entries, Known: true, Entries: entries})
		for _, id := range ids {
			p.RecordRateLimit(first(id), RateLimitNotice{Limited: true, PerSecond: 1, At: at(0)})
		}
		served[position] = startAll(p, 60_000, 61_000) > 0
	}
	for position := range entries {
		assert.Check(t, served[position], "position %d", position)
	}
}

// No sequence of bursts and pauses at any number of entries exceeds the limit.
func TestRateLimitHoldsForAnyArrivals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 40).Draw(t, "entries")
		perSecond := rapid.Float64Range(0, 20).Draw(t, "limit")
		demands := rapid.SliceOfN(rapid.Float64Range(0.1, 100), entries, entries).Draw(t, "demands")
		s := newSharedEndpoint(perSecond, demands)
		ms := 3000
		for range rapid.IntRange(1, 40).Draw(t, "bursts") {
			ms += rapid.IntRange(1, 8000).Draw(t, "pause")
			senders := rapid.SliceOfNDistinct(rapid.IntRange(0, entries-1), 1, entries, rapid.ID[int]).Draw(t, "senders")
			slices.Sort(senders)
			for _, entry := range senders {
				s.send(at(ms), entry, rapid.IntRange(1, 30).Draw(t, "requests"))
			}
		}
		if most := s.mostWithin(limitWindow); most > allowedWithin(perSecond) {
			t.Fatalf("%d requests of %d entries, %d allowed at %v a second", most, entries, allowedWithin(perSecond), perSecond)
		}
	})
}

// Guards against callers of a busy entry that are refused while entries with few callers
// leave their parts of the limits unused.
func TestPartsOfRateLimitsFollowTheDemandOfEntries(t *testing.T) {
	const endpoints, perSecond = 40, 3.0
	demands := []float64{1, 2, 4, 1}
	rates := make([]float64, len(demands))
	total := 0.0
	for i := range endpoints {
		lower := 0.0
		for entry, demand := range demands {
			upper := lower + demand/8
			p := plainPool("a")
			p.SetRateLimitShare(RateLimitShare{Lower: lower, Upper: upper, Known: true})
			notice := RateLimitNotice{Limited: true, PerSecond: perSecond}
			rate := p.rateAllowance(&rateLimit{notice: notice, offset: permitOffset(fmt.Sprint("i-", i))}).perSecond
			rates[entry] += rate
			total += rate
			lower = upper
		}
	}
	assert.Check(t, math.Abs(total-endpoints*perSecond) < 1e-9, "%v", total)
	for entry, demand := range demands {
		want := endpoints * perSecond * demand / 8
		assert.Check(t, math.Abs(rates[entry]-want) < 0.2*want, "%v of %v", rates[entry], want)
	}
}

// Guards against less urgent requests that never get a token because the bucket has no room
// for the reserve.
func TestReserveForUrgentRequestsNeverTakesAllOfALimit(t *testing.T) {
	for _, share := range []RateLimitShare{{Entries: 8}, {Upper: 0.5, Known: true}, {Upper: 1, Known: true}} {
		p := plainPool("a")
		p.SetRateLimitShare(share)
		announce(p, at(0), 2)
		for ms := 0; ms < 60_000; ms += 10 {
			p.recordArrival(at(ms), newRequest(at(ms), 0))
		}
		endpoint := p.endpoints["a"]
		assert.Equal(t, p.urgentClaim(at(60_000), 1), 1.0)
		assert.Check(t, p.rateLimitAllowsAfter(at(60_000), endpoint, 1), "%+v", share)
	}
}

// Guards against a limit that returns, or looks newer, each time that processes pass it on.
func TestReportedRateLimitReplacesOnlyOlderOnes(t *testing.T) {
	limited := func(ms int, perSecond float64) RateLimitNotice {
		return RateLimitNotice{Limited: true, PerSecond: perSecond, At: at(ms)}
	}
	for name, c := range map[string]struct {
		reported, known RateLimitNotice
		want            bool
	}{
		"passed on":          {limited(1010, 2), limited(1000, 2), false},
		"confirmed":          {limited(2500, 2), limited(1000, 2), true},
		"changed a little":   {limited(1010, 2.1), limited(1000, 2), false},
		"changed":            {limited(1010, 3), limited(1000, 2), true},
		"changed before":     {limited(990, 3), limited(1000, 2), false},
		"lifted":             {RateLimitNotice{At: at(1010)}, limited(1000, 2), true},
		"lifted before":      {RateLimitNotice{At: at(1000)}, limited(1000, 2), false},
		"announced again":    {limited(1010, 2), RateLimitNotice{At: at(1000)}, true},
		"from before it end": {limited(990, 2), RateLimitNotice{At: at(1000)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, c.reported.ReplacesReported(c.known), c.want)
		})
	}
}
