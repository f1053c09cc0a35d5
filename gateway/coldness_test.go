package gateway

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/loadreport"
	"github.com/snipestep/snipestep/routing/admission"
)

// coldFixture is newFixture with a service whose endpoints take 36 requests a second while cold,
// and at most 59 within one second.
func coldFixture(t *testing.T, endpoints ...http.HandlerFunc) *fixture {
	f := newFixture(t, endpoints...)
	f.gateway.config.ColdExcess, f.gateway.config.ColdExtra = 1.5, 5
	document := *f.directory.View().Document
	document.Version++
	document.Services = map[string]*directory.Service{
		"s":  {Name: "s", ColdStart: &directory.ColdStart{Duration: 3 * time.Second, PerSecond: 36}},
		"lm": {Name: "lm", Engine: &directory.Engine{}, ColdStart: &directory.ColdStart{Duration: 3 * time.Second, PerSecond: 36}},
	}
	f.directory.SetDocument(&document)
	return f
}

// setCold sets a record that says how long the first endpoint stays cold.
func (f *fixture) setCold(revision uint64, left time.Duration) {
	f.directory.SetColdRecords(map[string]directory.ColdRecord{"i-0": {Left: left, ReceivedAt: time.Now(), Revision: revision}})
}

// nameEntries makes a settled agent name a number of entries.
func (f *fixture) nameEntries(n int) {
	f.gateway.observeColdEntries(time.Now(), loadreport.Report{Settled: true, Entries: n})
}

func (f *fixture) coldCount(service string) (count int) {
	(*f.gateway.services.Load())[service].gate.Inspect(func(p *admission.Pool) { count = p.ColdEndpoints(time.Now()) })
	return count
}

// Guards against requests that are sent to an endpoint which has turned out to be cold since it
// was chosen, beyond the share of this entry, and against ones that count as run.
func TestRequestsBeyondTheShareOfAColdEndpointAreNotSent(t *testing.T) {
	arrivals := newArrivals()
	f := coldFixture(t, arrivals.serve)
	f.nameEntries(11)
	s := (*f.gateway.services.Load())["s"]
	inTime := time.Now().Add(time.Minute)
	var grants []*admission.Grant
	for range 3 {
		grant, err := s.gate.Acquire(t.Context(), admission.Request{ArrivedAt: time.Now(), SoftDeadline: inTime, HardDeadline: inTime})
		assert.NilError(t, err)
		grants = append(grants, grant)
	}
	f.setCold(1, time.Minute)
	req := &request{service: s, route: f.directory.View().Document.Match("h.example", "/again/")}
	httpRequest := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "http://h.example/again/", http.NoBody)
	attempt, mayHaveRun, err := f.gateway.send(t.Context(), httpRequest, req, grants[2], "")
	breakerOpened := attempt.end(attemptOutcome(t.Context(), err))
	var unavailable *UnavailableError
	assert.Assert(t, errors.As(err, &unavailable))
	assert.Equal(t, unavailable.Reason, admission.UnavailableColdLimited)
	assert.Assert(t, !mayHaveRun && !breakerOpened)
	assert.Equal(t, len(arrivals.times), 0)
}

// Guards against callers that return at once, or never, while no endpoint may be used.
func TestRefusalForColdEndpointsNamesTheirEnd(t *testing.T) {
	f := coldFixture(t, respondWith("ok"))
	f.nameEntries(200) // Too many for a share.
	const left = 7 * time.Second
	f.setCold(1, left)
	response, _, err := f.send(t, "/once/", func(r *http.Request) { r.Header.Set("Left", "900") })
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	retryAfter, err := time.ParseDuration(response.Header.Get("Retry-After") + "s")
	assert.NilError(t, err)
	assert.Check(t, retryAfter > left-2*time.Second && retryAfter <= left+restSpread+5*time.Millisecond, "%v", retryAfter)
	f.setCold(2, 0)
	response, _, err = f.send(t, "/once/", nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
}

// Guards against an entry that takes a number of entries from an agent which does not know all,
// and against a service that is added later and has no share.
func TestOnlySettledAgentsNameTheNumberOfEntries(t *testing.T) {
	f := coldFixture(t, respondWith("ok"))
	agents := f.listEngines(1)
	report := loadreport.Report{ClosesIn: loadreport.UnknownDuration, Entries: 30}
	f.gateway.applyReport(time.Now(), agents[0], report)
	assert.Equal(t, f.gateway.coldDivisor.Load(), int64(0))
	report.Settled = true
	f.gateway.applyReport(time.Now(), agents[0], report)
	assert.Equal(t, f.gateway.coldDivisor.Load(), int64(30))
	report.Entries = 4
	f.gateway.applyReport(time.Now(), agents[0], report)
	assert.Equal(t, f.gateway.coldDivisor.Load(), int64(30), "entries on the other side of a cut still send")

	document := *f.directory.View().Document
	document.Version++
	document.Services = map[string]*directory.Service{
		"s": {Name: "s", ColdStart: &directory.ColdStart{Duration: 3 * time.Second, PerSecond: 36}},
	}
	f.directory.SetDocument(&document)
	f.setCold(1, time.Minute)
	assert.Equal(t, f.coldCount("s"), 1)
	(*f.gateway.services.Load())["s"].gate.Inspect(func(p *admission.Pool) {
		unavailable := p.Unavailable(time.Now())
		assert.Equal(t, unavailable[admission.UnavailableCold], 0, "%v", unavailable)
	})
}

// Guards against an engine that restarts and is used as before until its record says so.
func TestReportOfAStartMakesAnEngineCold(t *testing.T) {
	f := coldFixture(t)
	document := *f.directory.View().Document
	agents := f.listEngines(2)
	document.Version = f.directory.View().Document.Version + 1
	f.directory.SetDocument(&document)
	now := time.Now()
	old := loadreport.Report{ClosesIn: loadreport.UnknownDuration, LoadedVersion: 1, Start: loadreport.StartAge{Known: true, Age: loadreport.UnknownDuration}}
	for _, agent := range agents {
		f.gateway.applyReport(now, agent, old)
	}
	assert.Equal(t, f.coldCount("lm"), 0)
	started := old
	started.Start = loadreport.StartAge{Known: true, Seen: true, Age: 300 * time.Millisecond}
	f.gateway.applyReport(now, agents[0], started)
	assert.Equal(t, f.coldCount("lm"), 1)
	f.gateway.applyReport(now, agents[0], old)
	assert.Equal(t, f.coldCount("lm"), 1, "a report that says less")
	f.gateway.logColdChanges((*f.gateway.services.Load())["lm"])
}

// arrivals records when requests reach an endpoint.
type arrivals struct {
	mu    sync.Mutex
	times []time.Time
}

func newArrivals() *arrivals {
	return &arrivals{}
}

func (a *arrivals) serve(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	a.times = append(a.times, time.Now())
	a.mu.Unlock()
	respondWith("ok")(w, r)
}

// mostInOneSecond returns the largest number of arrivals within one second.
func (a *arrivals) mostInOneSecond() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	most, first := 0, 0
	for i, t := range a.times {
		for t.Sub(a.times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Load: four entries, one of which is killed and starts again, pass on what callers send without
// a pause to one cold endpoint, which bears 59 requests within one second. Guards against one
// that it does not bear: unlimited, the entries send it several hundred a second.
func TestEntriesTogetherSpareAColdEndpoint(t *testing.T) {
	const bound = 59
	arrivals := newArrivals()
	endpoint := httptest.NewServer(http.HandlerFunc(arrivals.serve))
	t.Cleanup(endpoint.Close)
	newEntry := func() *fixture {
		f := coldFixture(t)
		f.addEndpoint(strings.TrimPrefix(endpoint.URL, "http://"))
		f.setCold(1, time.Minute)
		return f
	}
	end := time.Now().Add(2 * time.Second)
	var callers sync.WaitGroup
	call := func(f *fixture, until time.Time) {
		for range 4 {
			callers.Go(func() {
				for time.Now().Before(until) {
					response, _, err := f.send(t, "/once/", func(r *http.Request) { r.Header.Set("Left", "300") })
					assert.Check(t, err == nil && slices.Contains([]int{http.StatusOK, http.StatusServiceUnavailable}, response.StatusCode), "%v %d", err, response.StatusCode)
				}
			})
		}
	}
	for range 3 {
		f := newEntry()
		f.nameEntries(4)
		call(f, end)
	}
	killed := newEntry()
	killed.nameEntries(4)
	call(killed, time.Now().Add(700*time.Millisecond))
	time.Sleep(800 * time.Millisecond)
	restarted := newEntry()
	call(restarted, end)
	time.Sleep(300 * time.Millisecond)
	restarted.nameEntries(4)
	callers.Wait()
	most := arrivals.mostInOneSecond()
	t.Logf("at most %d requests within one second, %d in all", most, len(arrivals.times))
	assert.Assert(t, most <= bound)
	assert.Assert(t, len(arrivals.times) >= 8, "the shares are used")
}
