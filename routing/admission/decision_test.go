package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestEstimateHasTheVersionsOfTheChoice(t *testing.T) {
	p := enginePool(1, "a")
	p.SetMinVersion(1)
	p.Report("a", Report{ReceivedAt: at(0), LoadedVersion: 2})
	estimate := p.Submit(at(1), newRequest(at(1), 0)).Estimate
	assert.Equal(t, estimate.LoadedVersion, uint64(2))
	assert.Equal(t, estimate.MinVersion, uint64(1))
}

func TestEstimateOfAQueuedRequestHasTheVersionsOfTheChoice(t *testing.T) {
	p := enginePool(1, "a")
	p.Report("a", Report{ReceivedAt: at(0), LoadedVersion: 2, Running: 4})
	req := newRequest(at(1), 0)
	req.HardDeadline = at(60_000)
	assert.Equal(t, p.Submit(at(1), req).Verdict, Enqueue)
	p.SetMinVersion(3)
	p.Report("a", Report{ReceivedAt: at(200), LoadedVersion: 3})
	assignments := p.Dispatch(at(200))
	assert.Equal(t, len(assignments), 1)
	assert.Equal(t, assignments[0].Estimate.LoadedVersion, uint64(3))
	assert.Equal(t, assignments[0].Estimate.MinVersion, uint64(3))
}

func TestEstimateWithoutRecentReportHasTheListedVersion(t *testing.T) {
	p := enginePool(1, "a")
	p.Report("a", Report{ReceivedAt: at(0).Add(-time.Hour), LoadedVersion: 2})
	endpoint := p.endpoints["a"]
	assert.Equal(t, p.loadEstimate(at(0), endpoint, 0).LoadedVersion, uint64(1))
}

// Guards against a choice by a stale entry of the endpoint list that looks like one by
// a report.
func TestEstimateTellsTheSourceOfTheVersion(t *testing.T) {
	p := enginePool(1, "a")
	endpoint := p.endpoints["a"]
	assert.Equal(t, p.loadEstimate(at(700), endpoint, 0).VersionSource, VersionFromReport)
	assert.Equal(t, p.loadEstimate(at(701), endpoint, 0).VersionSource, VersionFromList)
	plain := NewPool(Config{Region: "r"})
	plain.SetEndpoints(at(0), []Endpoint{{ID: "a", Region: "r", Slots: 4}})
	assert.Equal(t, plain.loadEstimate(at(0), plain.endpoints["a"], 0).VersionSource, VersionSource(""))
}
