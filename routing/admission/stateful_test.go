package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/snipestep/snipestep/core"
)

// poolModel drives a Pool and checks its invariants. It simulates the engines, whose
// reports always contain their actual load.
type poolModel struct {
	pool       *Pool
	now        time.Time
	engines    map[string]*modelEngine
	minVersion uint64
	// waiting holds the enqueued requests that were not yet started or removed.
	waiting map[uint64]*Request
	// inFlight maps a request's ID to its endpoint.
	inFlight map[uint64]string
	nextID   uint64
}

type modelEngine struct {
	Endpoint
	closed        bool
	loadedVersion uint64
	running       map[uint64]bool
}

func newPoolModel(t *rapid.T) *poolModel {
	m := &poolModel{
		pool:     NewPool(Config{Region: "r", AgentReports: true, PrefillTokensPerSecond: 10_000}),
		now:      at(0),
		engines:  make(map[string]*modelEngine),
		waiting:  make(map[uint64]*Request),
		inFlight: make(map[uint64]string),
	}
	for i := range rapid.IntRange(1, 5).Draw(t, "engines") {
		id := fmt.Sprint("i-", i)
		m.engines[id] = &modelEngine{Endpoint: Endpoint{ID: id, Region: []string{"r", "s"}[i%2], Slots: 3, LoadedVersion: 1}, loadedVersion: 1, running: make(map[uint64]bool)}
	}
	m.listEndpoints()
	m.reportAll()
	return m
}

func (m *poolModel) listEndpoints() {
	var endpoints []Endpoint
	for _, e := range m.engines {
		endpoints = append(endpoints, e.Endpoint)
	}
	m.pool.SetEndpoints(m.now, endpoints)
}

func (m *poolModel) reportAll() {
	for id, e := range m.engines {
		m.pool.Report(id, Report{ReceivedAt: m.now, Running: len(e.running), Closed: e.closed, LoadedVersion: e.loadedVersion})
	}
}

// start checks that a request may start at an endpoint and starts it there.
func (m *poolModel) start(t *rapid.T, req *Request, endpoint string) {
	e := m.engines[endpoint]
	switch {
	case e == nil:
		t.Fatalf("request %d starts at %q, which is not listed", req.ID, endpoint)
	case e.Draining:
		t.Fatalf("request %d starts at %q, which is draining", req.ID, endpoint)
	case e.Evacuated:
		t.Fatalf("request %d starts at %q, which is evacuated", req.ID, endpoint)
	case !req.Regions.Contains(e.Region):
		t.Fatalf("request %d starts in region %q, it may use %v only", req.ID, e.Region, req.Regions.Names())
	case e.closed:
		t.Fatalf("request %d starts at %q, which reported that it is closed", req.ID, endpoint)
	case e.loadedVersion == 0 || e.loadedVersion < m.minVersion:
		t.Fatalf("request %d starts on version %d, minimum is %d", req.ID, e.loadedVersion, m.minVersion)
	case len(e.running) >= e.Slots:
		t.Fatalf("request %d starts at %q, which has no free slot", req.ID, endpoint)
	case slices.Contains(req.ExcludedEndpoints, endpoint):
		t.Fatalf("request %d starts at %q, which is excluded", req.ID, endpoint)
	}
	e.running[req.ID] = true
	m.inFlight[req.ID] = endpoint
}

func (m *poolModel) dispatch(t *rapid.T) {
	for _, assignment := range m.pool.Dispatch(m.now) {
		if m.waiting[assignment.Request.ID] == nil {
			t.Fatalf("request %d started twice or never waited", assignment.Request.ID)
		}
		delete(m.waiting, assignment.Request.ID)
		m.start(t, assignment.Request, assignment.EndpointID)
	}
	for _, refused := range m.pool.RefuseUnservable(m.now) {
		if m.waiting[refused.ID] == nil {
			t.Fatalf("request %d is refused and did not wait", refused.ID)
		}
		delete(m.waiting, refused.ID)
		m.checkRefused(t, refused)
	}
}

// checkRefused checks that no endpoint is sure to take a request that is refused without a forecast.
func (m *poolModel) checkRefused(t *rapid.T, req *Request) {
	evacuating, usable := false, false
	for id, e := range m.engines {
		evacuating = evacuating || e.Evacuated
		usable = usable || req.Regions.Contains(e.Region) && m.pool.eligible(m.now, m.pool.endpoints[id])
	}
	if (!evacuating && req.Regions == nil) || usable || req.Resumed {
		t.Fatalf("request %d is refused, evacuating %v, usable %v, resumed %v", req.ID, evacuating, usable, req.Resumed)
	}
}

func (m *poolModel) submit(t *rapid.T) {
	m.nextID++
	req := newRequest(m.now, rapid.IntRange(0, 2).Draw(t, "rank"))
	req.ID = m.nextID
	req.Resumed = rapid.Bool().Draw(t, "resumed")
	req.LatencyCritical = rapid.Bool().Draw(t, "latency critical")
	req.PromptTokens = float64(rapid.IntRange(0, 3000).Draw(t, "prompt"))
	req.Regions = core.NewRegionSet(rapid.SampledFrom([][]string{nil, nil, {"r"}, {"s"}, {"r", "s"}, {"t"}}).Draw(t, "regions"))
	req.ExcludedEndpoints = rapid.SliceOfN(rapid.SampledFrom([]string{"i-0", "i-1"}), 0, 2).Draw(t, "excluded")
	switch d := m.pool.Submit(m.now, req); d.Verdict {
	case Start:
		m.start(t, req, d.EndpointID)
	case Enqueue:
		m.waiting[req.ID] = req
	case Refuse:
		if d.ExpectedWait <= 0 || d.Reason == "" {
			t.Fatalf("refusal without a wait or a reason: %+v", d)
		}
	}
}

func (m *poolModel) end(t *rapid.T) {
	if len(m.inFlight) == 0 {
		return
	}
	var ids []uint64
	for id := range m.inFlight {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	id := rapid.SampledFrom(ids).Draw(t, "ended")
	endpoint := m.inFlight[id]
	delete(m.inFlight, id)
	if e := m.engines[endpoint]; e != nil {
		delete(e.running, id)
	}
	outcome := rapid.SampledFrom([]Outcome{Served, NotRun, TimedOut, Failed, Cancelled, NotSent}).Draw(t, "outcome")
	m.pool.Done(m.now, endpoint, id, outcome)
	m.dispatch(t)
}

func (m *poolModel) cancelWaiting(t *rapid.T) {
	for id := range m.waiting {
		if !m.pool.Remove(id) {
			t.Fatalf("request %d was enqueued but is not waiting", id)
		}
		delete(m.waiting, id)
		return
	}
}

func (m *poolModel) changeEngine(t *rapid.T) {
	id := fmt.Sprint("i-", rapid.IntRange(0, 4).Draw(t, "changed"))
	e := m.engines[id]
	if e == nil {
		return
	}
	switch rapid.IntRange(0, 5).Draw(t, "change") {
	case 0:
		e.closed = !e.closed
	case 1:
		e.loadedVersion = uint64(rapid.IntRange(0, 3).Draw(t, "version"))
	case 2:
		e.Draining = true
	case 3:
		delete(m.engines, id)
	case 4:
		m.minVersion = uint64(rapid.IntRange(0, 3).Draw(t, "minimum version"))
		m.pool.SetMinVersion(m.minVersion)
	case 5:
		e.Evacuated = !e.Evacuated
	}
	m.listEndpoints()
	m.reportAll()
	m.dispatch(t)
}

func (m *poolModel) checkWaiting(t *rapid.T) {
	if m.pool.Waiting() != len(m.waiting) {
		t.Fatalf("%d requests are waiting, want %d", m.pool.Waiting(), len(m.waiting))
	}
}

// One entry with accurate reports never exceeds an engine's slots, never starts a
// request where it is not permitted, and loses no waiting request.
func TestPoolInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newPoolModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit":   m.submit,
			"end":      m.end,
			"withdraw": m.cancelWaiting,
			"change":   m.changeEngine,
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
				m.reportAll()
				m.dispatch(t)
			},
			"": m.checkWaiting,
		})
	})
}
