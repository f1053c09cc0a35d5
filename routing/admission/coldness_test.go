package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/routing/sharedrate"
)

// coldRule is that of the deployment with cold endpoints, and coldBound what it allows within
// one second.
var coldRule = sharedrate.ColdRule{PerSecond: 36, Excess: 1.5, Extra: 5}

const (
	coldBound    = 59
	coldDuration = 3 * time.Second
)

// coldPool is enginePool for a service whose endpoints start cold, divided among 11 entries.
func coldPool(ids ...string) *Pool {
	p := enginePool(1, ids...)
	p.SetColdStart(at(-1000), true, coldRule, coldDuration)
	p.SetColdEntries(11)
	p.SetStoreUp(at(-1000), true)
	return p
}

// reportStart reports an idle engine whose start its agent saw a time ago.
func reportStart(p *Pool, now time.Time, id string, ago time.Duration) {
	p.Report(id, Report{ReceivedAt: now, LoadedVersion: 1, Start: sharedrate.Start{Known: true, Seen: true, Since: ago}})
}

// tryAll starts requests until none can start, and returns how many did.
func tryAll(p *Pool, now time.Time) int {
	started := 0
	for {
		if _, ok := p.TryStart(now, newRequest(now, 0)); !ok {
			return started
		}
		started++
	}
}

// Load: a failure domain with 11 or 20 engines of 12 slots returns at once, cold, after 2 s,
// while requests wait at each entry. Its agents have run on, or died with it. Each entry hears
// of the start within 0.3 s. Guards against a second above what a cold engine bears.
func TestNoSecondOfAReturningFailureDomainIsAboveTheBound(t *testing.T) {
	for _, c := range []struct{ entries, engines int }{{11, 11}, {11, 20}, {17, 20}, {36, 20}} {
		for name, before := range map[string]Report{
			"agents ran on": {ReceivedAt: at(0), LoadedVersion: 1, Closed: true},
			"agents died":   {ReceivedAt: at(-2000), LoadedVersion: 1},
		} {
			t.Run(fmt.Sprintf("%d entries, %d engines, %s", c.entries, c.engines, name), func(t *testing.T) {
				run := newReturningDomain(c.entries, c.engines, before, 300)
				run.check(t)
				perEngine := float64(run.total()) / 3 / float64(c.engines)
				assert.Assert(t, perEngine >= 8, "an engine serves 8 a second; %v", perEngine)
				// An engine that turns requests away frees its slots at once.
				run = newReturningDomain(c.entries, c.engines, before, 300)
				run.refuses = true
				run.check(t)
			})
		}
	}
}

// Load: engines that are idle at all entries restart and are back before the next poll of their
// agents; each entry hears of it within 0.1 s and sends as to a warm engine until then. Guards
// against buckets that are full at that moment.
func TestTheSecondInWhichEntriesLearnOfAColdStartIsWithinTheBound(t *testing.T) {
	newReturningDomain(11, 20, Report{ReceivedAt: at(0), LoadedVersion: 1}, 100).check(t)
}

// returningDomain simulates the entries and engines of a failure domain that returns.
type returningDomain struct {
	random  *rand.Rand
	pools   []*Pool
	hearsAt []int
	ids     []string
	// sent holds the times in milliseconds by engine, ends the requests by the time of their
	// end.
	sent map[string][]int
	ends map[int][]func(ms int)
	// seen says that the agents see the start.
	seen bool
	// refuses says that the engines answer each request at once.
	refuses bool
}

// newReturningDomain returns a domain whose agents reported last before its return, and of whose
// return all entries hear within a time.
func newReturningDomain(entries, engines int, before Report, hearWithinMS int) *returningDomain {
	d := &returningDomain{
		random: rand.New(rand.NewPCG(uint64(entries), uint64(engines))), sent: make(map[string][]int), ends: make(map[int][]func(int)),
		seen: !before.ReceivedAt.Before(at(0)),
	}
	var endpoints []Endpoint
	for i := range engines {
		d.ids = append(d.ids, fmt.Sprintf("e-%02d", i))
		endpoints = append(endpoints, Endpoint{ID: d.ids[i], Region: "r", Slots: 12, LoadedVersion: 1})
	}
	for i := range entries {
		p := NewPool(Config{Region: "r", AgentReports: true, PrefillTokensPerSecond: 10_000, Rand: rand.New(rand.NewPCG(uint64(i), 1))})
		p.SetEntryCount(entries)
		p.SetColdStart(at(-9000), true, coldRule, coldDuration)
		p.SetColdEntries(entries)
		p.SetStoreUp(at(-9000), true)
		p.SetEndpoints(at(-9000), endpoints)
		for _, id := range d.ids {
			p.Report(id, before)
		}
		d.pools = append(d.pools, p)
		d.hearsAt = append(d.hearsAt, 5+5*d.random.IntN(hearWithinMS/5))
	}
	return d
}

// check runs for three seconds and checks each second.
func (d *returningDomain) check(t *testing.T) {
	t.Helper()
	for ms := 0; ms < 3000; ms += 5 {
		d.step(ms)
	}
	most := 0
	for _, sent := range d.sent {
		first := 0
		for i, ms := range sent {
			for ms-sent[first] >= 1000 {
				first++
			}
			most = max(most, i-first+1)
		}
	}
	t.Logf("at most %d requests in one second to one engine, %.1f a second on average", most, float64(d.total())/3/float64(len(d.ids)))
	assert.Assert(t, most <= coldBound)
}

// total returns the number of requests to all engines.
func (d *returningDomain) total() int {
	total := 0
	for _, sent := range d.sent {
		total += len(sent)
	}
	return total
}

// step lets each entry hear of the start, or of the load every 50 ms, and send what it may.
func (d *returningDomain) step(ms int) {
	for _, end := range d.ends[ms] {
		end(ms)
	}
	for i, p := range d.pools {
		if ms >= d.hearsAt[i] && (ms-d.hearsAt[i])%50 == 0 {
			for _, id := range d.ids {
				running := min(len(d.sent[id])-d.endedBy(id, ms), 12)
				if d.refuses {
					running = 0
				}
				p.Report(id, Report{
					ReceivedAt: at(ms), LoadedVersion: 1, Running: running,
					Start: sharedrate.Start{Known: true, Seen: d.seen, Since: time.Duration(ms) * time.Millisecond},
				})
			}
		}
		for {
			req := newRequest(at(ms), 0)
			req.PromptTokens = 600 // 60 ms of prefill: two at once.
			decision, ok := p.TryStart(at(ms), req)
			if !ok {
				break
			}
			if p.withdrawCold(at(ms), decision.EndpointID, req.ID) == "" {
				d.sent[decision.EndpointID] = append(d.sent[decision.EndpointID], ms)
			}
			id := decision.EndpointID
			first, last := ms+60+5*d.random.IntN(10), ms+1000+5*d.random.IntN(100)
			if d.refuses {
				first, last = ms+5, ms+5
			}
			d.ends[first] = append(d.ends[first], func(ms int) { p.RecordProgress(at(ms), id, req.ID) })
			d.ends[last] = append(d.ends[last], func(ms int) { p.Done(at(ms), id, req.ID, Served) })
		}
	}
}

// endedBy returns about how many requests of an engine have ended.
func (d *returningDomain) endedBy(id string, ms int) int {
	ended := 0
	for _, sentAt := range d.sent[id] {
		if ms >= sentAt+1250 {
			ended++
		}
	}
	return ended
}

// Guards against cold endpoints that get requests from an entry which does not know its share,
// and against callers that are not told when to come back.
func TestNothingIsSentWhileTheNumberOfEntriesIsUnknown(t *testing.T) {
	p := coldPool("a", "b")
	p.SetColdEntries(0)
	for _, id := range []string{"a", "b"} {
		reportStart(p, at(100), id, 500*time.Millisecond)
	}
	decision := p.Submit(at(100), newRequest(at(100), 0))
	assert.Equal(t, decision.Verdict, Refuse)
	assert.Equal(t, decision.Reason, ReasonCold)
	assert.Equal(t, decision.Unavailable.String(), "cold 2")
	assert.Equal(t, decision.ExpectedWait, 900*time.Millisecond, "an agent that started with the service is settled then")
	assert.Equal(t, p.freeSlots(at(100), nil), 0)
	assert.Equal(t, p.slotReleaseRate(at(100), nil), 0.0)

	p.SetColdEntries(50)
	decision = p.Submit(at(100), newRequest(at(100), 0))
	assert.Equal(t, decision.ExpectedWait, 2500*time.Millisecond, "the end of the coldness")
	reportStart(p, at(2600), "a", 3*time.Second)
	assert.Equal(t, p.Submit(at(2600), newRequest(at(2600), 0)).Verdict, Start)
}

// Guards against requests that queue for slots of cold endpoints that nobody may use yet, and
// against a share that is refilled when the end of the coldness moves.
func TestColdEndpointCountsWithItsShare(t *testing.T) {
	p := coldPool("a")
	reportStart(p, at(0), "a", 0)
	assert.Assert(t, p.freeSlots(at(1000), nil) <= 1)
	reportStart(p, at(1000), "a", time.Second)
	assert.Equal(t, tryAll(p, at(1000)), 1)
	assert.Equal(t, p.Unavailable(at(1000)).String(), "cold_limited 1")
	assert.Assert(t, p.slotReleaseRate(at(1000), nil) < 36.1/11)
	reportStart(p, at(1010), "a", 0)
	assert.Equal(t, tryAll(p, at(1010)), 0)
	reportStart(p, at(1320), "a", 300*time.Millisecond)
	assert.Equal(t, tryAll(p, at(1320)), 1)
	reportStart(p, at(4100), "a", 3100*time.Millisecond)
	assert.Assert(t, tryAll(p, at(4100)) > 1, "it is warm")
}

// Guards against a debt that is forgotten when the endpoint list changes, and against memory for
// endpoints that are gone.
func TestDebtOutlivesAGapInTheEndpointList(t *testing.T) {
	p := coldPool("a")
	assert.Equal(t, tryAll(p, at(10)), 4, "it is not cold")
	p.SetEndpoints(at(20), nil)
	p.SetEndpoints(at(500), []Endpoint{{ID: "a", Region: "r", Slots: 4, LoadedVersion: 1}})
	reportStart(p, at(500), "a", 0)
	assert.Equal(t, tryAll(p, at(500)), 0)
	assert.Equal(t, p.freeSlots(at(500), nil), 0)
	p.SetEndpoints(at(600), nil)
	p.SetEndpoints(at(1000), nil)
	assert.Equal(t, len(p.cold.states), 1)
	p.SetEndpoints(at(4000), nil)
	assert.Equal(t, len(p.cold.states), 0)
}

// Guards against requests that were chosen just before the coldness was known and are sent
// beyond the share, and against a charge that is lost with them.
func TestRequestsBeyondTheShareAreWithdrawnBeforeSending(t *testing.T) {
	p := coldPool("a")
	var requests []*Request
	for range 3 {
		req := newRequest(at(10), 0)
		_, ok := p.TryStart(at(10), req)
		assert.Assert(t, ok)
		assert.Equal(t, p.withdrawCold(at(10), "a", req.ID), Unavailability(""), "not cold yet")
		requests = append(requests, req)
	}
	reportStart(p, at(11), "a", 0)
	before := p.cold.states["a"].bucket.Level(at(11), p.cold.share)
	assert.Assert(t, before < -1)
	assert.Equal(t, p.withdrawCold(at(11), "a", requests[1].ID), UnavailableColdLimited)
	assert.Equal(t, p.withdrawCold(at(11), "a", requests[1].ID), UnavailableColdLimited)
	assert.Equal(t, p.cold.states["a"].bucket.Level(at(11), p.cold.share), before+1, "given back once")
	p.SetColdEntries(0)
	assert.Equal(t, p.withdrawCold(at(11), "a", requests[0].ID), UnavailableCold)
	assert.Equal(t, p.withdrawCold(at(11), "gone", 1), Unavailability(""))
}

// Guards against an endpoint that restarts unseen: its agent is silent, or this entry was frozen
// and reads reports that waited in the buffer of its socket.
func TestSilentEndpointCountsAsCold(t *testing.T) {
	p := coldPool("a")
	assert.Equal(t, p.ColdEndpoints(at(700)), 0)
	assert.Equal(t, p.ColdEndpoints(at(701)), 1)
	assert.Equal(t, tryAll(p, at(701)), 1, "a bucket of one request after a pause")
	assert.Equal(t, p.ColdEndpoints(at(4700)), 0, "the store would have told of a start")
	p.SetStoreUp(at(4800), false)
	assert.Equal(t, p.ColdEndpoints(at(4800)), 1)

	p.Report("a", Report{ReceivedAt: at(60_000), LoadedVersion: 1, RoundTrip: 50 * time.Second})
	assert.Equal(t, p.ColdEndpoints(at(60_000)), 1, "a report from before the freeze")
	p.Report("a", Report{ReceivedAt: at(60_100), LoadedVersion: 1, RoundTrip: time.Millisecond})
	assert.Equal(t, p.ColdEndpoints(at(60_100)), 0)
}

// Guards against a change for services that name no rate, and for endpoints after the document
// lifted it.
func TestServicesWithoutARateAreNotAffected(t *testing.T) {
	p := coldPool("a", "b")
	p.SetColdEntries(0)
	reportStart(p, at(10), "a", 0)
	reportStart(p, at(10), "b", 0)
	assert.Equal(t, p.ColdEndpoints(at(10)), 2)
	p.SetColdStart(at(20), false, sharedrate.ColdRule{}, 0)
	assert.Equal(t, p.ColdEndpoints(at(20)), 0)
	assert.Equal(t, tryAll(p, at(20)), 8)
	reportStart(p, at(1990), "a", 0)
	reportStart(p, at(1990), "b", 0)
	assert.Equal(t, len(p.Unavailable(at(2000))), 0)
	assert.Equal(t, len(p.ColdChanges(at(2000))), 0)
}

// Guards against endpoints without agents that are never cold: only records tell of them.
func TestRecordMakesAnEndpointWithoutAgentCold(t *testing.T) {
	p := plainPool("a")
	p.SetColdStart(at(-1000), true, coldRule, coldDuration)
	p.SetColdEntries(11)
	assert.Equal(t, p.ColdEndpoints(at(0)), 0, "it sends no reports")
	list := func(now time.Time, revision uint64, left time.Duration) {
		p.SetEndpoints(now, []Endpoint{{ID: "a", Region: "r", Slots: 4, StartedUnixMS: 1, ColdRecord: sharedrate.Record{Known: true, Left: left, ReceivedAt: now, Revision: revision}}})
	}
	list(at(0), 1, time.Second)
	assert.DeepEqual(t, p.ColdChanges(at(0)), []ColdChange{{EndpointID: "a", Cold: true, Source: sharedrate.SourceRecord, Left: time.Second}})
	assert.Assert(t, tryAll(p, at(0)) <= 1)
	assert.Equal(t, len(p.ColdChanges(at(999))), 0)
	assert.Equal(t, p.ColdChanges(at(1000))[0].Cold, false)
	p.SetColdStart(at(1000), true, sharedrate.ColdRule{Excess: 1.5, Extra: 5}, coldDuration)
	list(at(1100), 2, time.Second)
	assert.Equal(t, tryAll(p, at(1100)), 0, "a rate of 0")
	assert.Equal(t, p.Unavailable(at(1100)).String(), "cold 1")
}

// Guards against a choice that allocates.
func TestChoiceAmongColdEndpointsDoesNotAllocate(t *testing.T) {
	p := coldPool("a", "b", "c")
	for _, id := range []string{"a", "b", "c"} {
		reportStart(p, at(0), id, 0)
	}
	req := newRequest(at(400), 0)
	assert.Equal(t, testing.AllocsPerRun(100, func() { p.chooseEndpoint(at(400), req, 3) }), 0.0)
}
