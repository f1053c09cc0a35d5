package admission

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// slowdownPool returns a pool of idle engines that uses figures of slowdown.
func slowdownPool(ids ...string) *Pool {
	p := enginePool(1, ids...)
	p.config.UseSlowdown = true
	return p
}

func TestSlowdownIsUsedForHalfASecond(t *testing.T) {
	p := slowdownPool("a")
	p.RecordSlowdown(Incarnation{ID: "a"}, at(0), 2.5)
	assert.Equal(t, p.endpoints["a"].slowdown(at(500)), 2.5)
	assert.Equal(t, p.endpoints["a"].slowdown(at(501)), 1.0)
}

// Guards against a figure of the last start that slows a new one down.
func TestSlowdownOfAnEarlierIncarnationIsNotUsed(t *testing.T) {
	p := slowdownPool("a")
	p.RecordSlowdown(Incarnation{ID: "a"}, at(0), 2.5)
	p.SetEndpoints(at(1), []Endpoint{{ID: "a", Region: "r", Slots: 4, LoadedVersion: 1, StartedUnixMS: 9}})
	assert.Equal(t, p.endpoints["a"].slowdown(at(2)), 1.0)
	p.RecordSlowdown(Incarnation{ID: "a"}, at(3), 3)
	assert.Equal(t, p.endpoints["a"].slowdown(at(4)), 1.0)
	p.RecordSlowdown(Incarnation{ID: "a", StartedUnixMS: 9}, at(3), 3)
	assert.Equal(t, p.endpoints["a"].slowdown(at(4)), 3.0)
}

func TestUnknownSlowdownKeepsTheFigureBefore(t *testing.T) {
	p := slowdownPool("a")
	for _, unknown := range []float64{0, -1, math.NaN(), math.Inf(-1)} {
		p.RecordSlowdown(Incarnation{ID: "a"}, at(0), 2)
		p.RecordSlowdown(Incarnation{ID: "a"}, at(100), unknown)
		assert.Equal(t, p.endpoints["a"].slowdown(at(400)), 2.0)
		assert.Equal(t, p.endpoints["a"].slowdown(at(550)), 1.0)
	}
}

// Guards against figures that waited in the socket's buffer of a frozen process: the round trip of
// their report contains that time.
func TestSlowdownOfAReportIsAsOldAsItsRoundTrip(t *testing.T) {
	p := slowdownPool("a")
	p.Report("a", Report{ReceivedAt: at(1_000), LoadedVersion: 1, Slowdown: 2.5, RoundTrip: 600 * time.Millisecond})
	assert.Equal(t, p.endpoints["a"].slowdown(at(1_000)), 1.0)
	p.Report("a", Report{ReceivedAt: at(1_000), LoadedVersion: 1, Slowdown: 2.5, RoundTrip: 4 * time.Millisecond})
	assert.Equal(t, p.endpoints["a"].slowdown(at(1_400)), 2.5)
}

func TestSlowdownIsPartOfTheExpectedDelay(t *testing.T) {
	req := newRequest(at(1), 0)
	req.MeanFirstResponse = 200 * time.Millisecond
	for seed := range uint64(20) {
		p := slowdownPool("a", "b")
		p.config.Rand = rand.New(rand.NewPCG(seed, 1))
		// One of four slots in use is 62.5 ms, a slowdown of 1.4 is 80 ms.
		p.Report("b", Report{ReceivedAt: at(0), LoadedVersion: 1, Running: 1})
		p.RecordSlowdown(Incarnation{ID: "a"}, at(0), 1.4)
		assert.Equal(t, p.chooseEndpoint(at(1), req, 7).ID, "b")
		p.RecordSlowdown(Incarnation{ID: "a"}, at(0), 1.1)
		assert.Equal(t, p.chooseEndpoint(at(1), req, 7).ID, "a")
	}
}

// Guards against slowness that counts twice, in the release rate and in the mean service time.
func TestReleaseRateOfSlowEndpointsCountsSlownessOnce(t *testing.T) {
	p := slowdownPool("a", "b")
	now := at(0)
	for range 400 {
		req := newRequest(now, 0)
		decision := p.Submit(now, req)
		assert.Equal(t, decision.Verdict, Start)
		now = now.Add(2500 * time.Millisecond)
		for _, id := range []string{"a", "b"} {
			p.Report(id, Report{ReceivedAt: now, LoadedVersion: 1, Slowdown: 2.5})
		}
		p.Done(now, decision.EndpointID, req.ID, Served)
	}
	rate := p.slotReleaseRate(now, nil)
	assert.Assert(t, math.Abs(rate-8/2.5) < 0.05, "%v slots a second", rate)
}

// Guards against a figure that changes anything while the switch is off: endpoints without agents
// would become the last choice by it.
func TestSlowdownOfResponsesIsIgnoredWithTheSwitchOff(t *testing.T) {
	p := enginePool(1, "a")
	p.RecordSlowdown(Incarnation{ID: "a"}, at(0), 9)
	assert.Equal(t, p.endpoints["a"].slowdown(at(1)), 1.0)
	assert.Equal(t, p.slownessDelay(at(1), newRequest(at(1), 0), p.endpoints["a"]), 0.0)
}

// Guards against load reports of responses that drop a figure which is still valid.
func TestLoadOfAResponseKeepsTheSlowdown(t *testing.T) {
	p := NewPool(Config{Region: "r", UseSlowdown: true})
	p.SetEndpoints(at(0), []Endpoint{{ID: "a", Region: "r", Slots: 4}})
	p.RecordSlowdown(Incarnation{ID: "a"}, at(0), 2)
	p.ReportResponseLoad(at(100), "a", 1, 0)
	assert.Equal(t, p.endpoints["a"].slowdown(at(200)), 2.0)
}
