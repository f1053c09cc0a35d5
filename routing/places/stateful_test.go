package places

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// model drives a Pool and checks what must always hold. The engines are its
// own: a report always tells their true load.
type model struct {
	pool    *Pool
	now     time.Time
	engines map[string]*modelEngine
	oldest  uint64
	// waiting holds the asks that were held and not yet started or removed.
	waiting map[uint64]*Ask
	placed  map[uint64]string
	nextID  uint64
}

type modelEngine struct {
	Endpoint
	closed  bool
	held    uint64
	running map[uint64]bool
}

func newModel(t *rapid.T) *model {
	m := &model{
		pool:    NewPool(Config{Region: "r", Reported: true, ReadRate: 10_000}),
		now:     at(0),
		engines: make(map[string]*modelEngine),
		waiting: make(map[uint64]*Ask),
		placed:  make(map[uint64]string),
	}
	for i := range rapid.IntRange(1, 5).Draw(t, "engines") {
		id := fmt.Sprint("i-", i)
		m.engines[id] = &modelEngine{Endpoint: Endpoint{ID: id, Region: "r", Slots: 3, Held: 1}, held: 1, running: make(map[uint64]bool)}
	}
	m.list()
	m.reportAll()
	return m
}

func (m *model) list() {
	var list []Endpoint
	for _, e := range m.engines {
		list = append(list, e.Endpoint)
	}
	m.pool.SetEndpoints(m.now, list)
}

func (m *model) reportAll() {
	for id, e := range m.engines {
		m.pool.Report(id, Report{At: m.now, Running: len(e.running), Closed: e.closed, Held: e.held})
	}
}

// start checks a start against the rules and carries it out.
func (m *model) start(t *rapid.T, a *Ask, endpoint string) {
	e := m.engines[endpoint]
	switch {
	case e == nil:
		t.Fatalf("request %d starts at %q, which is not listed", a.ID, endpoint)
	case e.Draining:
		t.Fatalf("request %d starts at %q, which drains", a.ID, endpoint)
	case e.closed:
		t.Fatalf("request %d starts at %q, which reported that it is closed", a.ID, endpoint)
	case e.held == 0 || e.held < m.oldest:
		t.Fatalf("request %d starts on version %d, oldest is %d", a.ID, e.held, m.oldest)
	case len(e.running) >= e.Slots:
		t.Fatalf("request %d starts at %q, which has no place left", a.ID, endpoint)
	case slices.Contains(a.Without, endpoint):
		t.Fatalf("request %d starts at %q again", a.ID, endpoint)
	}
	e.running[a.ID] = true
	m.placed[a.ID] = endpoint
}

func (m *model) next(t *rapid.T) {
	for _, s := range m.pool.Next(m.now) {
		if m.waiting[s.Ask.ID] == nil {
			t.Fatalf("request %d started twice or never waited", s.Ask.ID)
		}
		delete(m.waiting, s.Ask.ID)
		m.start(t, s.Ask, s.Endpoint)
	}
}

func (m *model) offer(t *rapid.T) {
	m.nextID++
	a := ask(m.now, rapid.IntRange(0, 2).Draw(t, "rank"))
	a.ID = m.nextID
	a.Begun = rapid.Bool().Draw(t, "begun")
	a.Tight = rapid.Bool().Draw(t, "tight")
	a.Prompt = float64(rapid.IntRange(0, 3000).Draw(t, "prompt"))
	a.Without = rapid.SliceOfN(rapid.SampledFrom([]string{"i-0", "i-1"}), 0, 2).Draw(t, "without")
	switch d := m.pool.Offer(m.now, a); d.Verdict {
	case Start:
		m.start(t, a, d.Endpoint)
	case Hold:
		m.waiting[a.ID] = a
	case Refuse:
		if d.Wait <= 0 || d.Reason == "" {
			t.Fatalf("refusal without a time or a reason: %+v", d)
		}
	}
}

func (m *model) end(t *rapid.T) {
	if len(m.placed) == 0 {
		return
	}
	var ids []uint64
	for id := range m.placed {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	id := rapid.SampledFrom(ids).Draw(t, "ended")
	endpoint := m.placed[id]
	delete(m.placed, id)
	if e := m.engines[endpoint]; e != nil {
		delete(e.running, id)
	}
	outcome := rapid.SampledFrom([]Outcome{Served, NotRun, Silent, Broken, Left}).Draw(t, "outcome")
	m.pool.Done(m.now, endpoint, id, outcome)
	m.next(t)
}

func (m *model) withdraw(t *rapid.T) {
	for id := range m.waiting {
		if !m.pool.Remove(id) {
			t.Fatalf("request %d is held but does not wait", id)
		}
		delete(m.waiting, id)
		return
	}
}

func (m *model) change(t *rapid.T) {
	id := fmt.Sprint("i-", rapid.IntRange(0, 4).Draw(t, "changed"))
	e := m.engines[id]
	if e == nil {
		return
	}
	switch rapid.IntRange(0, 4).Draw(t, "change") {
	case 0:
		e.closed = !e.closed
	case 1:
		e.held = uint64(rapid.IntRange(0, 3).Draw(t, "held"))
	case 2:
		e.Draining = true
	case 3:
		delete(m.engines, id)
	case 4:
		m.oldest = uint64(rapid.IntRange(0, 3).Draw(t, "oldest"))
		m.pool.Require(m.oldest)
	}
	m.list()
	m.reportAll()
	m.next(t)
}

func (m *model) check(t *rapid.T) {
	if m.pool.Waiting() != len(m.waiting) {
		t.Fatalf("%d requests wait, %d were held", m.pool.Waiting(), len(m.waiting))
	}
}

// One entry with true reports never overfills an engine, never begins where it
// must not, and loses no request that it holds.
func TestPoolKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"offer":    m.offer,
			"end":      m.end,
			"withdraw": m.withdraw,
			"change":   m.change,
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
				m.reportAll()
				m.next(t)
			},
			"": m.check,
		})
	})
}
