package places

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns a moment some milliseconds after the start.
func at(ms int) time.Time {
	return start.Add(time.Duration(ms) * time.Millisecond)
}

// enginePool returns a pool of engines in one region that all report that they
// are idle and hold version 1.
func enginePool(entries int, ids ...string) *Pool {
	p := NewPool(Config{Region: "r", Reported: true, Hold: time.Second})
	p.SetEntries(entries)
	var list []Endpoint
	for _, id := range ids {
		list = append(list, Endpoint{ID: id, Region: "r", Slots: 4, Held: 1})
	}
	p.SetEndpoints(at(-1000), list)
	for _, id := range ids {
		p.Report(id, Report{At: at(0), Held: 1})
	}
	return p
}

var lastID uint64

// ask returns a request that must start within 200 ms to be on time, and is of
// use for 800 ms.
func ask(now time.Time, rank int) *Ask {
	lastID++
	return &Ask{
		ID: lastID, Rank: rank, Organisation: "o", Arrived: now,
		OnTimeUntil: now.Add(200 * time.Millisecond), GiveUp: now.Add(800 * time.Millisecond),
		Size: 100, Expected: time.Second,
	}
}

func TestEveryPlaceIsUsedAndNoMore(t *testing.T) {
	p := enginePool(1, "a", "b")
	for range 8 {
		assert.Equal(t, p.Offer(at(1), ask(at(1), 0)).Verdict, Start)
	}
	assert.Equal(t, p.Offer(at(1), ask(at(1), 0)).Verdict, Hold)
}

func TestFreedPlaceGoesToTheMostUrgentRequestOnTime(t *testing.T) {
	p := enginePool(1, "a")
	first := ask(at(1), 1)
	assert.Equal(t, p.Offer(at(1), first).Verdict, Start)
	for range 3 {
		p.Offer(at(1), ask(at(1), 1))
	}
	late := ask(at(1), 0)
	late.OnTimeUntil = at(2)
	background, urgent := ask(at(3), 2), ask(at(4), 1)
	for _, a := range []*Ask{late, background, urgent} {
		assert.Equal(t, p.Offer(at(5), a).Verdict, Hold)
	}
	p.Done(at(10), "a", first.ID, Served)
	started := p.Next(at(10))
	assert.Equal(t, len(started), 1)
	assert.Equal(t, started[0].Ask.ID, urgent.ID)
}

func TestHopelessRequestIsRefusedAtOnceWithTheTimeOfRoom(t *testing.T) {
	p := enginePool(1, "a")
	var refused Decision
	for range 40 {
		if d := p.Offer(at(1), ask(at(1), 0)); d.Verdict == Refuse {
			refused = d
			break
		}
	}
	assert.Equal(t, refused.Reason, ReasonFull)
	assert.Assert(t, refused.Wait > 800*time.Millisecond, "%v", refused.Wait)
}

func TestNoEndpointIsRefusedAtOnce(t *testing.T) {
	p := NewPool(Config{Region: "r", Reported: true})
	assert.Equal(t, p.Offer(at(0), ask(at(0), 0)).Reason, ReasonNoEndpoint)
}

func TestEngineWithoutWeightsGetsNothing(t *testing.T) {
	p := enginePool(1, "a", "empty")
	p.Report("empty", Report{At: at(0), Held: 0})
	for range 4 {
		assert.Equal(t, p.Offer(at(1), ask(at(1), 0)).Endpoint, "a")
	}
	assert.Equal(t, p.Offer(at(1), ask(at(1), 0)).Verdict, Hold)
}

func TestVersionsBelowTheRequiredOneBeginNothing(t *testing.T) {
	p := enginePool(1, "old", "new")
	p.Report("new", Report{At: at(0), Held: 2})
	p.Require(2)
	for range 4 {
		assert.Equal(t, p.Offer(at(1), ask(at(1), 0)).Endpoint, "new")
	}
}

func TestDrainingEndpointGetsNothing(t *testing.T) {
	p := enginePool(1, "a")
	p.SetEndpoints(at(0), []Endpoint{{ID: "a", Region: "r", Slots: 4, Held: 1, Draining: true}})
	assert.Equal(t, p.Offer(at(1), ask(at(1), 0)).Verdict == Start, false)
}

// Pattern: several entries see the same last free places in the same reports.
func TestLastFreePlacesAreLeftToOtherEntriesToo(t *testing.T) {
	p := enginePool(4, "a")
	sent := 0
	for range 4 {
		a := ask(at(60), 0)
		a.GiveUp = at(60_000)
		if p.Offer(at(60), a).Verdict == Start {
			sent++
		}
	}
	assert.Equal(t, sent, 1, "four entries that do the same fill the four places")
	// The report shows that the other entries sent nothing.
	p.Report("a", Report{At: at(200), Running: 1, Held: 1})
	assert.Equal(t, len(p.Next(at(200))), 1)
}

// Pattern: an engine is about to load another version.
func TestClosingEndpointGetsOnlyWhatEndsInTime(t *testing.T) {
	p := enginePool(1, "closing", "open")
	p.Report("closing", Report{At: at(0), Held: 1, ClosesAt: at(500)})
	short, long := ask(at(1), 0), ask(at(1), 0)
	short.Expected = 200 * time.Millisecond
	assert.Equal(t, p.Offer(at(1), short).Endpoint, "closing")
	assert.Equal(t, p.Offer(at(1), long).Endpoint, "open")
}

// Pattern: many long prompts and some requests with a tight aim.
func TestTightRequestsFindALaneWithoutLongOnes(t *testing.T) {
	p := enginePool(1, "a", "b", "c", "d")
	tight := map[string]int{}
	others := map[string]int{}
	for i := range 10 {
		a := ask(at(1+i), 1)
		a.Tight = i%4 == 0
		d := p.Offer(at(1+i), a)
		assert.Equal(t, d.Verdict, Start)
		if i < 2 {
			continue // The lane follows what was seen.
		}
		if a.Tight {
			tight[d.Endpoint]++
		} else {
			others[d.Endpoint]++
		}
	}
	for id := range tight {
		assert.Equal(t, others[id], 0, id)
	}
}

// Pattern: after a loss of power the list still says that engines hold weights.
func TestEndpointThatRanNothingIsClosedUntilItsNextReport(t *testing.T) {
	p := enginePool(1, "a")
	a := ask(at(1), 0)
	p.Offer(at(1), a)
	p.Done(at(20), "a", a.ID, NotRun)
	assert.Equal(t, p.Offer(at(21), ask(at(21), 0)).Verdict == Start, false)
	p.Report("a", Report{At: at(40), Held: 1})
	assert.Equal(t, len(p.Next(at(41)))+boolToInt(p.Offer(at(41), ask(at(41), 0)).Verdict == Start) > 0, true)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Pattern: an endpoint whose health is good fails its requests.
func TestFailingEndpointIsSetAsideAndTriedAgain(t *testing.T) {
	p := enginePool(1, "grey")
	aside := false
	for i := range 4 {
		a := ask(at(i), 0)
		if p.Offer(at(i), a).Verdict != Start {
			break
		}
		aside = p.Done(at(i), "grey", a.ID, Broken) || aside
	}
	assert.Assert(t, aside)
	assert.Equal(t, p.Offer(at(10), ask(at(10), 0)).Verdict == Start, false)
	p.Report("grey", Report{At: at(700), Held: 1})
	trial := ask(at(701), 0)
	started := p.Next(at(701))
	if len(started) == 0 {
		assert.Equal(t, p.Offer(at(701), trial).Verdict, Start)
		started = []Started{{Ask: trial}}
	}
	assert.Equal(t, len(started), 1, "one trial at a time")
	p.Done(at(750), "grey", started[0].Ask.ID, Served)
	p.Report("grey", Report{At: at(760), Held: 1})
	assert.Equal(t, p.Offer(at(761), ask(at(761), 0)).Verdict, Start)
}

func TestSilenceOfAnEndpointThatGoesOnIsNoFailure(t *testing.T) {
	p := enginePool(1, "a")
	for i := range 4 {
		a := ask(at(i), 0)
		p.Offer(at(i), a)
		p.Progress(at(i), "a", a.ID)
		assert.Assert(t, !p.Done(at(i+1), "a", a.ID, Silent))
	}
	assert.Equal(t, p.Offer(at(10), ask(at(10), 0)).Verdict, Start)
}

// Pattern: one organisation floods, a small one asks now and then.
func TestSmallOrganisationGoesBeforeOneThatUsedMore(t *testing.T) {
	p := enginePool(1, "a")
	var first *Ask
	for range 4 {
		a := ask(at(1), 0)
		a.Organisation = "large"
		p.Offer(at(1), a)
		first = a
	}
	large, small := ask(at(2), 0), ask(at(3), 0)
	large.Organisation, small.Organisation = "large", "small"
	p.Offer(at(3), large)
	p.Offer(at(3), small)
	p.Done(at(10), "a", first.ID, Served)
	assert.Equal(t, p.Next(at(10))[0].Ask.ID, small.ID)
}

func TestStaleReportsCountOwnRequestsForEveryEntry(t *testing.T) {
	p := enginePool(2, "a")
	sent := 0
	for range 4 {
		if p.Offer(at(5000), ask(at(5000), 0)).Verdict == Start {
			sent++
		}
	}
	assert.Equal(t, sent, 2)
}

// Weights move over a link that has become narrow: requests over it arrive a
// second later, and so does the word that a caller has left.
func TestEndpointBehindAFullLinkIsTheLastChoice(t *testing.T) {
	p := enginePool(1, "a", "b")
	p.Report("a", Report{At: at(0), Held: 1, Delay: time.Second})
	p.Report("b", Report{At: at(0), Held: 1, Delay: usualDelay})
	for range 4 {
		assert.Equal(t, p.Offer(at(1), ask(at(1), 0)).Endpoint, "b")
	}
	assert.Equal(t, p.Offer(at(1), ask(at(1), 0)).Endpoint, "a", "better than none")
}

// Weights move over a link that has become narrow: an endpoint ends its older
// streams in time, and new requests do not reach it for a second.
func TestEndpointThatAnswersNoNewRequestIsTheLastChoice(t *testing.T) {
	p := enginePool(1, "a", "b")
	waits := ask(at(1), 0)
	waits.Without = []string{"b"}
	assert.Equal(t, p.Offer(at(1), waits).Endpoint, "a")
	report := func(ms int) {
		p.Report("a", Report{At: at(ms), Held: 1, Running: 1})
		p.Report("b", Report{At: at(ms), Held: 1, Running: 3})
	}
	report(200)
	assert.Equal(t, p.Offer(at(201), ask(at(201), 0)).Endpoint, "a", "as long as usual")
	report(1100)
	assert.Equal(t, p.Offer(at(1101), ask(at(1101), 0)).Endpoint, "b")
	assert.Assert(t, p.Progress(at(1102), "a", waits.ID))
}

func TestEndpointThatWasSilentIsTheLastChoiceForSeconds(t *testing.T) {
	p := enginePool(1, "a", "b")
	alive, silent := ask(at(1), 0), ask(at(1), 0)
	alive.Without, silent.Without = []string{"b"}, []string{"b"}
	p.Offer(at(1), alive)
	p.Offer(at(1), silent)
	p.Progress(at(100), "a", alive.ID)
	p.Progress(at(1200), "a", alive.ID)
	assert.Assert(t, !p.Done(at(1201), "a", silent.ID, Silent), "it goes on with another one")
	report := func(ms int) {
		p.Report("a", Report{At: at(ms), Held: 1, Running: 1})
		p.Report("b", Report{At: at(ms), Held: 1, Running: 3})
	}
	report(1202)
	assert.Equal(t, p.Offer(at(1203), ask(at(1203), 0)).Endpoint, "b")
	report(5000)
	assert.Equal(t, p.Offer(at(5001), ask(at(5001), 0)).Endpoint, "a", "it is tried again")
}

func TestSlowEndpointIsTheLastChoice(t *testing.T) {
	p := enginePool(1, "slow", "usual")
	p.Report("slow", Report{At: at(0), Held: 1, Pace: 5})
	for range 4 {
		assert.Equal(t, p.Offer(at(1), ask(at(1), 0)).Endpoint, "usual")
	}
	assert.Equal(t, p.Offer(at(1), ask(at(1), 0)).Endpoint, "slow")
}

// Pattern: an engine opens empty while requests wait at all entries.
func TestEmptyEngineGetsNoMorePromptsThanItReadsSoon(t *testing.T) {
	p := NewPool(Config{Region: "r", Reported: true, ReadRate: 10_000})
	p.SetEntries(2)
	p.SetEndpoints(at(-1000), []Endpoint{{ID: "a", Region: "r", Slots: 16, Held: 1}})
	p.Report("a", Report{At: at(0), Held: 1, Demand: 1})
	var sent []*Ask
	for range 8 {
		a := ask(at(1), 0)
		a.Prompt = 500 // 50 ms, and as much from the other entry.
		a.GiveUp = at(60_000)
		if p.Offer(at(1), a).Verdict == Start {
			sent = append(sent, a)
		}
	}
	assert.Equal(t, len(sent), 2)
	assert.Assert(t, p.Progress(at(200), "a", sent[0].ID))
	assert.Equal(t, len(p.Next(at(200))), 1)
}

// Pattern: an instance freezes with its agent; its engine answers nothing.
func TestEndpointWhoseAgentFellSilentIsTheLastChoice(t *testing.T) {
	p := enginePool(1, "silent", "heard")
	p.Report("heard", Report{At: at(500), Held: 1})
	for range 4 {
		assert.Equal(t, p.Offer(at(501), ask(at(501), 0)).Endpoint, "heard")
	}
	assert.Equal(t, p.Offer(at(501), ask(at(501), 0)).Endpoint, "silent")
}

func TestAnnouncementOfAnAgentThatDiedLapses(t *testing.T) {
	p := enginePool(1, "a")
	p.Report("a", Report{At: at(0), Held: 1, ClosesAt: at(100)})
	assert.Equal(t, p.Offer(at(50), ask(at(50), 0)).Verdict, Hold)
	assert.Equal(t, len(p.Next(at(600))), 0)
	assert.Equal(t, len(p.Next(at(800))), 1)
}
