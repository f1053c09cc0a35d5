package admission

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against requests that are sent to an endpoint whose instance stands still, and against an
// endpoint that is left out because its agent alone has died.
func TestEndpointThatIsSilentWithItsAgentGetsNoRequests(t *testing.T) {
	for name, test := range map[string]struct {
		reportedAt, progressAt int // In milliseconds; no progress if 0.
		starts                 bool
	}{
		"both are silent":           {reportedAt: 0, starts: false},
		"silent after its progress": {reportedAt: 0, progressAt: 80, starts: false},
		"only the agent is silent":  {reportedAt: 0, progressAt: 580, starts: true},
		"only the engine is silent": {reportedAt: 580, progressAt: 80, starts: true},
	} {
		t.Run(name, func(t *testing.T) {
			p := enginePool(1, "a")
			running := newRequest(at(1), 0)
			assert.Equal(t, p.Submit(at(1), running).Verdict, Start)
			if test.progressAt > 0 {
				p.RecordProgress(at(test.progressAt), "a", running.ID)
			}
			p.Report("a", Report{ReceivedAt: at(test.reportedAt), LoadedVersion: 1, Running: 1})
			_, started := p.TryStart(at(600), newRequest(at(600), 0))
			assert.Equal(t, started, test.starts)
			assert.Equal(t, p.Unavailable(at(600))[UnavailableUnresponsive], boolToInt(!test.starts))
		})
	}
}

// Guards against an endpoint that gets nothing for ever because its agent has died while it had no
// requests, and against many requests that are sent to see whether it responds.
func TestOneRequestTellsWhetherASilentEndpointResponds(t *testing.T) {
	p := enginePool(1, "a")
	trial := newRequest(at(5000), 0)
	assert.Equal(t, p.Submit(at(5000), trial).Verdict, Start)
	_, started := p.TryStart(at(5001), newRequest(at(5001), 0))
	assert.Assert(t, !started)
	p.RecordProgress(at(5100), "a", trial.ID)
	_, started = p.TryStart(at(5101), newRequest(at(5101), 0))
	assert.Assert(t, started)
}

// Guards against an entry that was paused itself, and takes all endpoints for silent until it has read
// the reports that have arrived meanwhile.
func TestSilenceDuringAPauseOfTheEntryDoesNotCount(t *testing.T) {
	p := enginePool(1, "a")
	p.Tick(at(0))
	p.Submit(at(1), newRequest(at(1), 0))
	for _, now := range []int{3000, 3001, 3200, 3400} { // From 3001 on, the loop that ticks goes on too.
		if now > 3000 {
			p.Tick(at(now))
		}
		assert.Equal(t, p.Unavailable(at(now))[UnavailableUnresponsive], 0, "after %d ms", now)
	}
	p.Tick(at(3500))
	assert.Equal(t, p.Unavailable(at(3500))[UnavailableUnresponsive], 1)
}

// Guards against callers' requests that try unresponsive endpoints where probes can tell, probes without
// end of an endpoint that does not answer, and moved requests that meet a second such endpoint.
func TestUnresponsiveEndpointIsProbed(t *testing.T) {
	p := enginePool(1, "a", "b")
	p.config.ProbesEndpoints = true
	p.Report("b", Report{ReceivedAt: at(500), LoadedVersion: 1})
	_, started := p.TryStart(at(501), &Request{ID: 1, ExcludedEndpoints: []string{"b"}})
	assert.Assert(t, !started)
	var due []int
	for now := 0; now < 6000; now += 100 {
		if slices.Contains(p.DueProbes(at(now)), "a") {
			due = append(due, now)
		}
	}
	assert.DeepEqual(t, due, []int{500, 1000, 2000, 4000})
	for _, unused := range []Endpoint{{Draining: true}, {Leaving: true}, {Evacuated: true}} {
		unused.ID, unused.Region, unused.Slots, unused.LoadedVersion = "a", "r", 4, 1
		p.endpoints["a"].Endpoint = unused
		assert.Equal(t, len(p.DueProbes(at(6000))), 0, "nothing is sent to an endpoint that is not used")
	}
	p.endpoints["a"].Endpoint = Endpoint{ID: "a", Region: "r", Slots: 4, LoadedVersion: 1}
	p.RecordProbeAnswer(at(6000), "a")
	_, started = p.TryStart(at(6001), &Request{ID: 2, ExcludedEndpoints: []string{"b"}})
	assert.Assert(t, started)

	p.config.ProbesEndpoints = false
	for _, req := range []*Request{{ID: 3, Moved: true}, {ID: 4, Resumed: true}} {
		_, started = p.TryStart(at(9000), req)
		assert.Assert(t, !started)
	}
}
