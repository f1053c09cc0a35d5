package admission

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/snipestep/snipestep/routing/sharedrate"
)

// restartWorld simulates entries that send to one engine as fast as it allows, which is down for a
// while and returns cold. All times are in milliseconds.
type restartWorld struct {
	random *rand.Rand
	// The engine is down from downAt until upAt, and its agent from downAt until agentUpAt
	// unless it runs on.
	downAt, upAt, agentUpAt int
	agentRunsOn             bool
	// lossPercent is how many reports are lost.
	lossPercent int
	entries     []*worldEntry
	sent        []int // While the engine is cold.
}

type worldEntry struct {
	pool *Pool
	// The entry is frozen from frozenAt until wakesAt, and hears no agent from cutAt until
	// cutEnd.
	frozenAt, wakesAt, cutAt, cutEnd int
	inbox                            []worldReport
	// hasRecord says that the record of the engine's start has arrived.
	hasRecord bool
}

type worldReport struct {
	sentAt, arrivesAt int
	report            Report
}

func newRestartWorld(t *rapid.T) *restartWorld {
	w := &restartWorld{random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))}
	w.downAt = 500
	w.upAt = w.downAt + rapid.IntRange(850, 2500).Draw(t, "down")
	w.agentUpAt = w.upAt + rapid.IntRange(-200, 500).Draw(t, "agent")
	w.agentRunsOn = rapid.Bool().Draw(t, "agentRunsOn")
	w.lossPercent = rapid.IntRange(0, 60).Draw(t, "loss")
	for i := range rapid.IntRange(1, 17).Draw(t, "entries") {
		e := &worldEntry{pool: NewPool(Config{Region: "r", AgentReports: true, Rand: rand.New(rand.NewPCG(uint64(i), 2))})}
		if rapid.Bool().Draw(t, "freezes") {
			e.frozenAt = rapid.IntRange(0, 5000).Draw(t, "frozenAt")
			e.wakesAt = e.frozenAt + rapid.IntRange(0, 4000).Draw(t, "frozen")
		}
		if rapid.Bool().Draw(t, "isCut") {
			e.cutAt = rapid.IntRange(0, 5000).Draw(t, "cutAt")
			e.cutEnd = e.cutAt + rapid.IntRange(0, 3000).Draw(t, "cut")
		}
		w.entries = append(w.entries, e)
	}
	for _, e := range w.entries {
		e.pool.SetColdStart(at(-9000), true, coldRule, coldDuration)
		e.pool.SetColdEntries(len(w.entries))
		e.pool.SetStoreUp(at(-9000), true)
		record := sharedrate.Record{Known: true, ReceivedAt: at(-9000), Revision: 1, Initial: true}
		e.pool.SetEndpoints(at(-9000), []Endpoint{{ID: "a", Region: "r", Slots: 12, LoadedVersion: 1, ColdRecord: record}})
		e.pool.Report("a", Report{ReceivedAt: at(0), LoadedVersion: 1})
	}
	return w
}

// agentReport returns what the agent reports at a time, false while it is down.
func (w *restartWorld) agentReport(ms int) (report Report, ok bool) {
	report = Report{LoadedVersion: 1, Start: sharedrate.Start{Known: true, Since: -1}}
	switch {
	case ms < w.downAt:
		return report, true
	case !w.agentRunsOn && ms < w.agentUpAt:
		return report, false
	case ms < w.upAt:
		report.Closed = true
		report.Start = sharedrate.Start{Known: w.agentRunsOn, Since: -1}
	case w.agentRunsOn:
		report.Start = sharedrate.Start{Known: true, Seen: true, Since: time.Duration(ms-w.upAt) * time.Millisecond}
	default:
		report.Start.Since = time.Duration(ms-max(w.upAt, w.agentUpAt)) * time.Millisecond
	}
	return report, true
}

func (w *restartWorld) step(ms int) {
	if report, ok := w.agentReport(ms); ok && ms%50 == 0 {
		for _, e := range w.entries {
			isCut := ms >= e.cutAt && ms < e.cutEnd
			if !isCut && w.random.IntN(100) >= w.lossPercent {
				e.inbox = append(e.inbox, worldReport{sentAt: ms, arrivesAt: ms + w.random.IntN(100), report: report})
			}
		}
	}
	for _, e := range w.entries {
		if ms >= e.frozenAt && ms < e.wakesAt {
			continue
		}
		// A process that wakes may serve callers before it has read anything.
		w.serve(e, ms)
		e.inbox = slices.DeleteFunc(e.inbox, func(r worldReport) bool {
			if r.arrivesAt > ms {
				return false
			}
			r.report.ReceivedAt = at(ms)
			r.report.Order = int64(r.sentAt + 1)
			r.report.RoundTrip = time.Duration(ms-r.sentAt) * time.Millisecond
			e.pool.Report("a", r.report)
			return true
		})
		w.deliverRecord(e, ms)
		w.serve(e, ms)
	}
}

// deliverRecord delivers the record that the engine wrote at its start, which takes up to a
// second.
func (w *restartWorld) deliverRecord(e *worldEntry, ms int) {
	if e.hasRecord || ms < w.upAt+w.random.IntN(1000) {
		return
	}
	e.hasRecord = true
	record := sharedrate.Record{Known: true, Left: coldDuration, ReceivedAt: at(ms), Revision: 2}
	e.pool.SetEndpoints(at(ms), []Endpoint{{ID: "a", Region: "r", Slots: 12, LoadedVersion: 1, ColdRecord: record}})
}

// serve sends what the entry may send. The engine turns each request away at once.
func (w *restartWorld) serve(e *worldEntry, ms int) {
	for range 5 {
		req := newRequest(at(ms), 0)
		if _, ok := e.pool.TryStart(at(ms), req); !ok {
			return
		}
		withdrawn := e.pool.withdrawCold(at(ms), "a", req.ID) != ""
		e.pool.Done(at(ms), "a", req.ID, Cancelled)
		if !withdrawn && ms >= w.upAt && ms < w.upAt+int(coldDuration.Milliseconds()) {
			w.sent = append(w.sent, ms)
		}
	}
}

// Load: up to 17 entries send all they may to an engine that was down for 0.85 s or more: 0.7 s
// of silence, and the delay of the last report before it and
// returns cold, with or without its agent. Reports are lost and late, entries are frozen or cut
// off from the agent meanwhile. Guards against any second above the bound.
func TestAnySecondOfAColdEngineIsWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newRestartWorld(t)
		for ms := 0; ms < w.upAt+3000; ms += 10 {
			w.step(ms)
		}
		first := 0
		for i, ms := range w.sent {
			for ms-w.sent[first] >= 1000 {
				first++
			}
			if most := i - first + 1; most > coldBound {
				t.Fatalf("%d requests in the second to %d ms, the engine is up since %d ms", most, ms, w.upAt)
			}
		}
	})
}
