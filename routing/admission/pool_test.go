package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time ms milliseconds after epoch.
func at(ms int) time.Time {
	return epoch.Add(time.Duration(ms) * time.Millisecond)
}

// enginePool returns a pool of engines in one region that all report that they
// are idle and have loaded version 1.
func enginePool(entries int, ids ...string) *Pool {
	p := NewPool(Config{Region: "r", AgentReports: true, InitialServiceTime: time.Second})
	p.SetEntryCount(entries)
	var endpoints []Endpoint
	for _, id := range ids {
		endpoints = append(endpoints, Endpoint{ID: id, Region: "r", Slots: 4, LoadedVersion: 1})
	}
	p.SetEndpoints(at(-1000), endpoints)
	for _, id := range ids {
		p.Report(id, Report{ReceivedAt: at(0), LoadedVersion: 1})
	}
	return p
}

var lastID uint64

// newRequest returns a request with a soft deadline after 200 ms and a hard
// deadline after 800 ms.
func newRequest(now time.Time, rank int) *Request {
	lastID++
	return &Request{
		ID: lastID, Rank: rank, Organisation: "o", ArrivedAt: now,
		SoftDeadline: now.Add(200 * time.Millisecond), HardDeadline: now.Add(800 * time.Millisecond),
		TotalTokens: 100, ExpectedServiceTime: time.Second,
	}
}

func TestEverySlotIsUsedAndNoMore(t *testing.T) {
	p := enginePool(1, "a", "b")
	for range 8 {
		assert.Equal(t, p.Submit(at(1), newRequest(at(1), 0)).Verdict, Start)
	}
	assert.Equal(t, p.Submit(at(1), newRequest(at(1), 0)).Verdict, Enqueue)
}

func TestFreedSlotGoesToTheMostUrgentRequestOnTime(t *testing.T) {
	p := enginePool(1, "a")
	running := newRequest(at(1), 1)
	assert.Equal(t, p.Submit(at(1), running).Verdict, Start)
	for range 3 {
		p.Submit(at(1), newRequest(at(1), 1))
	}
	late := newRequest(at(1), 0)
	late.SoftDeadline = at(2)
	background, urgent := newRequest(at(3), 2), newRequest(at(4), 1)
	for _, req := range []*Request{late, background, urgent} {
		assert.Equal(t, p.Submit(at(5), req).Verdict, Enqueue)
	}
	p.Done(at(10), "a", running.ID, Served)
	assignments := p.Dispatch(at(10))
	assert.Equal(t, len(assignments), 1)
	assert.Equal(t, assignments[0].Request.ID, urgent.ID)
}

func TestRequestThatCannotStartInTimeIsRefusedWithARetryTime(t *testing.T) {
	p := enginePool(1, "a")
	var refused Decision
	for range 40 {
		if d := p.Submit(at(1), newRequest(at(1), 0)); d.Verdict == Refuse {
			refused = d
			break
		}
	}
	assert.Equal(t, refused.Reason, ReasonFull)
	assert.Assert(t, refused.ExpectedWait > 800*time.Millisecond, "%v", refused.ExpectedWait)
}

func TestRequestWithoutAnyEndpointIsRefusedAtOnce(t *testing.T) {
	p := NewPool(Config{Region: "r", AgentReports: true})
	assert.Equal(t, p.Submit(at(0), newRequest(at(0), 0)).Reason, ReasonNoEndpoint)
}

func TestEngineWithoutWeightsGetsNoRequests(t *testing.T) {
	p := enginePool(1, "a", "empty")
	p.Report("empty", Report{ReceivedAt: at(0), LoadedVersion: 0})
	for range 4 {
		assert.Equal(t, p.Submit(at(1), newRequest(at(1), 0)).EndpointID, "a")
	}
	assert.Equal(t, p.Submit(at(1), newRequest(at(1), 0)).Verdict, Enqueue)
}

func TestEndpointBelowTheMinimumVersionGetsNoRequests(t *testing.T) {
	p := enginePool(1, "old", "new")
	p.Report("new", Report{ReceivedAt: at(0), LoadedVersion: 2})
	p.SetMinVersion(2)
	for range 4 {
		assert.Equal(t, p.Submit(at(1), newRequest(at(1), 0)).EndpointID, "new")
	}
}

func TestDrainingEndpointGetsNoRequests(t *testing.T) {
	p := enginePool(1, "a")
	p.SetEndpoints(at(0), []Endpoint{{ID: "a", Region: "r", Slots: 4, LoadedVersion: 1, Draining: true}})
	assert.Equal(t, p.Submit(at(1), newRequest(at(1), 0)).Verdict == Start, false)
}

// Several entries see the same last free slots in the same reports. If each used all
// of them, the endpoint would be overloaded.
func TestLastFreeSlotsAreSharedWithOtherEntries(t *testing.T) {
	p := enginePool(4, "a")
	started := 0
	for range 4 {
		req := newRequest(at(60), 0)
		req.HardDeadline = at(60_000)
		if p.Submit(at(60), req).Verdict == Start {
			started++
		}
	}
	assert.Equal(t, started, 1, "four entries that each send one request fill the four slots")
	// The report shows that the other entries sent nothing.
	p.Report("a", Report{ReceivedAt: at(200), Running: 1, LoadedVersion: 1})
	assert.Equal(t, len(p.Dispatch(at(200))), 1)
}

// An engine is about to load another version.
func TestClosingEndpointGetsOnlyRequestsThatEndBeforeItCloses(t *testing.T) {
	p := enginePool(1, "closing", "open")
	p.Report("closing", Report{ReceivedAt: at(0), LoadedVersion: 1, ClosesAt: at(500)})
	short, long := newRequest(at(1), 0), newRequest(at(1), 0)
	short.ExpectedServiceTime = 200 * time.Millisecond
	assert.Equal(t, p.Submit(at(1), short).EndpointID, "closing")
	assert.Equal(t, p.Submit(at(1), long).EndpointID, "open")
}

// Some requests are latency-critical. Each long prompt of another request at the same
// endpoint would delay their first event by a pass.
func TestLatencyCriticalRequestsHaveEndpointsOfTheirOwn(t *testing.T) {
	p := enginePool(1, "a", "b", "c", "d")
	critical := map[string]int{}
	others := map[string]int{}
	for i := range 10 {
		req := newRequest(at(1+i), 1)
		req.LatencyCritical = i%4 == 0
		d := p.Submit(at(1+i), req)
		assert.Equal(t, d.Verdict, Start)
		if i < 2 {
			continue // The partition is sized by the requests before.
		}
		if req.LatencyCritical {
			critical[d.EndpointID]++
		} else {
			others[d.EndpointID]++
		}
	}
	for id := range critical {
		assert.Equal(t, others[id], 0, id)
	}
}

// After a power failure the endpoint list still names versions that the engines no
// longer have loaded.
func TestEndpointThatRanNothingIsClosedUntilItsNextReport(t *testing.T) {
	p := enginePool(1, "a")
	req := newRequest(at(1), 0)
	p.Submit(at(1), req)
	p.Done(at(20), "a", req.ID, NotRun)
	assert.Equal(t, p.Submit(at(21), newRequest(at(21), 0)).Verdict == Start, false)
	p.Report("a", Report{ReceivedAt: at(40), LoadedVersion: 1})
	assert.Equal(t, len(p.Dispatch(at(41)))+boolToInt(p.Submit(at(41), newRequest(at(41), 0)).Verdict == Start) > 0, true)
}

// Guards against a version that counts as just reported although the report is old: the
// endpoint did not run a request, which says nothing about its version.
func TestEndpointThatRanNothingDoesNotRenewItsReport(t *testing.T) {
	p := NewPool(Config{Region: "r", AgentReports: true})
	p.SetEndpoints(at(0), []Endpoint{{ID: "a", Region: "r", Slots: 4, LoadedVersion: 2}})
	p.Report("a", Report{ReceivedAt: at(0), LoadedVersion: 2})
	p.SetEndpoints(at(5000), []Endpoint{{ID: "a", Region: "r", Slots: 4, LoadedVersion: 1}})
	req := newRequest(at(5000), 0)
	assert.Equal(t, p.Submit(at(5000), req).Verdict, Start)
	p.Done(at(5020), "a", req.ID, NotRun)
	assert.Equal(t, p.LoadedVersion(at(5020), "a"), uint64(1))
	assert.Equal(t, p.Submit(at(5020), newRequest(at(5020), 0)).Verdict == Start, false, "the endpoint stays closed")
	later := at(5021).Add(p.config.MaxReportAge)
	assert.Equal(t, p.Submit(later, newRequest(later, 0)).Verdict, Start)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// An endpoint passes its health check but fails its requests.
func TestCircuitBreakerOfAFailingEndpointOpensAndCloses(t *testing.T) {
	p := enginePool(1, "grey")
	opened := false
	for i := range 4 {
		req := newRequest(at(i), 0)
		if p.Submit(at(i), req).Verdict != Start {
			break
		}
		opened = p.Done(at(i), "grey", req.ID, Failed) || opened
	}
	assert.Assert(t, opened)
	assert.Equal(t, p.Submit(at(10), newRequest(at(10), 0)).Verdict == Start, false)
	p.Report("grey", Report{ReceivedAt: at(700), LoadedVersion: 1})
	probe := newRequest(at(701), 0)
	assignments := p.Dispatch(at(701))
	if len(assignments) == 0 {
		assert.Equal(t, p.Submit(at(701), probe).Verdict, Start)
		assignments = []Assignment{{Request: probe}}
	}
	assert.Equal(t, len(assignments), 1, "one probe at a time")
	p.Done(at(750), "grey", assignments[0].Request.ID, Served)
	p.Report("grey", Report{ReceivedAt: at(760), LoadedVersion: 1})
	assert.Equal(t, p.Submit(at(761), newRequest(at(761), 0)).Verdict, Start)
}

func TestTimeoutAtAnEndpointThatMakesProgressIsNoFailure(t *testing.T) {
	p := enginePool(1, "a")
	for i := range 4 {
		req := newRequest(at(i), 0)
		p.Submit(at(i), req)
		p.RecordProgress(at(i), "a", req.ID)
		assert.Assert(t, !p.Done(at(i+1), "a", req.ID, TimedOut))
	}
	assert.Equal(t, p.Submit(at(10), newRequest(at(10), 0)).Verdict, Start)
}

// One organisation sends a flood of requests, another one sends few.
func TestOrganisationWithLessUsageGoesFirst(t *testing.T) {
	p := enginePool(1, "a")
	var running *Request
	for range 4 {
		req := newRequest(at(1), 0)
		req.Organisation = "large"
		p.Submit(at(1), req)
		running = req
	}
	large, small := newRequest(at(2), 0), newRequest(at(3), 0)
	large.Organisation, small.Organisation = "large", "small"
	p.Submit(at(3), large)
	p.Submit(at(3), small)
	p.Done(at(10), "a", running.ID, Served)
	assert.Equal(t, p.Dispatch(at(10))[0].Request.ID, small.ID)
}

func TestStaleReportsCountOwnRequestsForEveryEntry(t *testing.T) {
	p := enginePool(2, "a")
	started := 0
	for range 4 {
		req := newRequest(at(5000), 0)
		if p.Submit(at(5000), req).Verdict == Start {
			started++
			p.RecordProgress(at(5000), "a", req.ID) // Its agent alone has died.
		}
	}
	assert.Equal(t, started, 2)
}

// A link that carries chunks of weights has become slow: requests over it arrive a
// second later, and so do messages that a caller has disconnected.
func TestEndpointBehindACongestedLinkIsTheLastChoice(t *testing.T) {
	p := enginePool(1, "a", "b")
	p.Report("a", Report{ReceivedAt: at(0), LoadedVersion: 1, RoundTrip: time.Second})
	p.Report("b", Report{ReceivedAt: at(0), LoadedVersion: 1, RoundTrip: normalRoundTrip})
	for range 4 {
		assert.Equal(t, p.Submit(at(1), newRequest(at(1), 0)).EndpointID, "b")
	}
	assert.Equal(t, p.Submit(at(1), newRequest(at(1), 0)).EndpointID, "a", "an endpoint behind a congested link is better than none")
}

// A link that carries chunks of weights has become slow: an endpoint finishes its
// older streams in time, but new requests do not reach it for a second.
func TestEndpointThatAnswersNoNewRequestIsTheLastChoice(t *testing.T) {
	p := enginePool(1, "a", "b")
	unanswered := newRequest(at(1), 0)
	unanswered.ExcludedEndpoints = []string{"b"}
	assert.Equal(t, p.Submit(at(1), unanswered).EndpointID, "a")
	report := func(ms int) {
		p.Report("a", Report{ReceivedAt: at(ms), LoadedVersion: 1, Running: 1})
		p.Report("b", Report{ReceivedAt: at(ms), LoadedVersion: 1, Running: 3})
	}
	report(200)
	assert.Equal(t, p.Submit(at(201), newRequest(at(201), 0)).EndpointID, "a", "normal delay")
	report(1100)
	assert.Equal(t, p.Submit(at(1101), newRequest(at(1101), 0)).EndpointID, "b")
	assert.Assert(t, p.RecordProgress(at(1102), "a", unanswered.ID))
}

func TestEndpointWithATimedOutRequestIsTheLastChoiceForSeconds(t *testing.T) {
	p := enginePool(1, "a", "b")
	answered, unanswered := newRequest(at(1), 0), newRequest(at(1), 0)
	answered.ExcludedEndpoints, unanswered.ExcludedEndpoints = []string{"b"}, []string{"b"}
	p.Submit(at(1), answered)
	p.Submit(at(1), unanswered)
	p.RecordProgress(at(100), "a", answered.ID)
	p.RecordProgress(at(1200), "a", answered.ID)
	assert.Assert(t, !p.Done(at(1201), "a", unanswered.ID, TimedOut), "it makes progress on another request")
	report := func(ms int) {
		p.Report("a", Report{ReceivedAt: at(ms), LoadedVersion: 1, Running: 1})
		p.Report("b", Report{ReceivedAt: at(ms), LoadedVersion: 1, Running: 3})
	}
	report(1202)
	assert.Equal(t, p.Submit(at(1203), newRequest(at(1203), 0)).EndpointID, "b")
	report(5000)
	assert.Equal(t, p.Submit(at(5001), newRequest(at(5001), 0)).EndpointID, "a", "it is tried again")
}

func TestSlowEndpointIsTheLastChoice(t *testing.T) {
	p := enginePool(1, "slow", "normal")
	p.Report("slow", Report{ReceivedAt: at(0), LoadedVersion: 1, Slowdown: 5})
	for range 4 {
		assert.Equal(t, p.Submit(at(1), newRequest(at(1), 0)).EndpointID, "normal")
	}
	assert.Equal(t, p.Submit(at(1), newRequest(at(1), 0)).EndpointID, "slow")
}

// An engine without requests starts to accept them while requests wait at all
// entries. If all its slots were filled at once, it would respond to no request until
// it had processed many prompts.
func TestEmptyEngineGetsNoMoreThanTheMaximumPrefillBacklog(t *testing.T) {
	p := NewPool(Config{Region: "r", AgentReports: true, PrefillTokensPerSecond: 10_000})
	p.SetEntryCount(2)
	p.SetEndpoints(at(-1000), []Endpoint{{ID: "a", Region: "r", Slots: 16, LoadedVersion: 1}})
	p.Report("a", Report{ReceivedAt: at(0), LoadedVersion: 1, Demand: 1})
	var started []*Request
	for range 8 {
		req := newRequest(at(1), 0)
		req.PromptTokens = 500 // 50 ms of prefill, and as much from the other entry.
		req.HardDeadline = at(60_000)
		if p.Submit(at(1), req).Verdict == Start {
			started = append(started, req)
		}
	}
	assert.Equal(t, len(started), 2)
	assert.Assert(t, p.RecordProgress(at(200), "a", started[0].ID))
	assert.Equal(t, len(p.Dispatch(at(200))), 1)
}

// An instance hangs, so that neither its agent nor its engine responds.
func TestEndpointWithASilentAgentIsTheLastChoice(t *testing.T) {
	p := enginePool(1, "silent", "reporting")
	p.Report("reporting", Report{ReceivedAt: at(500), LoadedVersion: 1})
	for range 4 {
		assert.Equal(t, p.Submit(at(501), newRequest(at(501), 0)).EndpointID, "reporting")
	}
	assert.Equal(t, p.Submit(at(501), newRequest(at(501), 0)).EndpointID, "silent")
}

func TestCloseAnnouncementOfADeadAgentExpires(t *testing.T) {
	p := enginePool(1, "a")
	p.Report("a", Report{ReceivedAt: at(0), LoadedVersion: 1, ClosesAt: at(100)})
	assert.Equal(t, p.Submit(at(50), newRequest(at(50), 0)).Verdict, Enqueue)
	assert.Equal(t, len(p.Dispatch(at(600))), 0)
	assert.Equal(t, len(p.Dispatch(at(800))), 1)
}

// Guards against a moved request that reaches an endpoint with older weights than it may.
func TestRequestGetsNoSlotBelowItsVersion(t *testing.T) {
	p := enginePool(1, "a", "b")
	p.Report("a", Report{ReceivedAt: at(0), LoadedVersion: 1})
	p.Report("b", Report{ReceivedAt: at(0), LoadedVersion: 2})
	for range 20 {
		req := newRequest(at(1), 0)
		req.MinVersion = 2
		decision, ok := p.TryStart(at(1), req)
		if !ok {
			break
		}
		assert.Equal(t, decision.EndpointID, "b")
	}
	req := newRequest(at(1), 0)
	req.MinVersion = 3
	_, ok := p.TryStart(at(1), req)
	assert.Assert(t, !ok)
	decision, ok := p.TryStart(at(1), newRequest(at(1), 0))
	assert.Assert(t, ok && decision.EndpointID == "a")
}

// Guards against new requests that wait behind a moved one, while the free slots are at endpoints
// whose weights are too old for that one only.
func TestRequestThatWaitsForNewerWeightsBlocksNoOthers(t *testing.T) {
	p := enginePool(1, "a")
	moved := newRequest(at(1), 0)
	moved.Resumed = true
	moved.MinVersion = 2
	assert.Equal(t, p.Submit(at(1), moved).Verdict, Enqueue)
	assert.Equal(t, p.Submit(at(1), newRequest(at(1), 0)).Verdict, Start)
	p.Report("a", Report{ReceivedAt: at(2), LoadedVersion: 2})
	assert.Equal(t, p.Submit(at(2), newRequest(at(2), 0)).Verdict, Enqueue, "the moved request can use the slot")
	assert.Equal(t, p.Dispatch(at(2))[0].Request, moved)
}
