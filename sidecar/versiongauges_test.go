package sidecar

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/telemetry"
)

func TestVersionGaugesOfAnAgent(t *testing.T) {
	r := newReconciler(t, &fakeEngine{})
	scope := tally.NewTestScope("", nil)
	r.deps.Scope = scope
	gauge := func(name string) float64 {
		gauge, ok := scope.Snapshot().Gauges()[tally.KeyForPrefixedStringMap(name, map[string]string{telemetry.TagService: testService.Name})]
		assert.Assert(t, ok, "gauge %s is not reported", name)
		return gauge.Value()
	}
	sampler := r.versionSampler()
	sampler.Sample()
	assert.Equal(t, gauge(telemetry.MetricLoadedVersion), 0.0, "the engine does not answer")
	assert.Equal(t, gauge(telemetry.MetricDeclaredVersion), 0.0, "no document is known")
	assert.Equal(t, gauge(telemetry.MetricDeclaredVersionAge), 0.0)

	r.deps.Directory.SetDocument(&directory.Document{Version: 1, Services: map[string]*directory.Service{testService.Name: testService}})
	r.engineState.Store(&EngineState{LoadedVersion: 1})
	sampler.Sample()
	assert.Equal(t, gauge(telemetry.MetricLoadedVersion), 1.0)
	assert.Equal(t, gauge(telemetry.MetricDeclaredVersion), 1.0)
	assert.Equal(t, gauge(telemetry.MetricDeclaredVersionAge), 0.0, "no version was declared")

	r.deps.Directory.SetInitialVersion(time.Now().Add(-time.Minute), testModel, 3, 0)
	sampler.Sample()
	assert.Equal(t, gauge(telemetry.MetricLoadedVersion), 1.0)
	assert.Equal(t, gauge(telemetry.MetricDeclaredVersion), 3.0)
	age := gauge(telemetry.MetricDeclaredVersionAge)
	assert.Assert(t, age >= 60 && age < 120, age)
}
