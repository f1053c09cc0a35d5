package gateway

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/internal/versiontest"
	"github.com/snipestep/snipestep/loadreport"
	"github.com/snipestep/snipestep/routing/admission"
	"github.com/snipestep/snipestep/settings"
	"github.com/snipestep/snipestep/telemetry"
)

// liveGauge returns the values of a gauge by the values of its tags.
func (f *versionFixture) liveGauge(t *testing.T, name string) map[string]float64 {
	t.Helper()
	gauges := f.gateway.LiveGauges()
	i := slices.IndexFunc(gauges, func(g telemetry.LiveGauge) bool { return g.Name == name })
	assert.Assert(t, i >= 0, name)
	values := map[string]float64{}
	gauges[i].Read(func(value float64, tagValues ...string) {
		assert.Equal(t, len(tagValues), len(gauges[i].Tags))
		values[strings.Join(tagValues, " ")] = value
	})
	return values
}

// Guards against a deadline of a superseded version that is dropped or late without a
// trace: the age of the newest version tells nothing of it.
func TestMandatoryInHasEachPendingVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound = 8 * time.Second
		f := newVersionFixture(t, bound)
		mandatoryIn := func() map[string]float64 { return f.liveGauge(t, telemetry.MetricVersionMandatoryIn) }
		assert.DeepEqual(t, mandatoryIn(), map[string]float64{})
		f.directory.SetDeclaration("m", versiontest.Declared(2, time.Now()))
		time.Sleep(3 * time.Second)
		f.directory.SetDeclaration("m", directory.Declaration{Version: 3, NotAfter: time.Now()})
		time.Sleep(3 * time.Second)
		f.directory.SetDeclaration("m", versiontest.Declared(4, time.Now()))
		assert.DeepEqual(t, mandatoryIn(), map[string]float64{"lm 2 last answer": 1.5, "lm 3 first read": 4.5, "lm 4 last answer": 7.5})
		time.Sleep(1700 * time.Millisecond)
		assert.DeepEqual(t, mandatoryIn(), map[string]float64{"lm 2 last answer": -0.2, "lm 3 first read": 2.8, "lm 4 last answer": 5.8})
		time.Sleep(2800 * time.Millisecond)
		assert.DeepEqual(t, mandatoryIn(), map[string]float64{"lm 3 first read": 0, "lm 4 last answer": 3})
	})
}

// The gauge turns negative when the minimum version rises, not at another time.
func TestMandatoryInAgreesWithTheMinimumVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newVersionFixture(t, 8*time.Second)
		f.directory.SetDeclaration("m", versiontest.Declared(2, time.Now()))
		minVersion := func() uint64 {
			return f.gateway.minVersion(time.Now(), f.directory.View(), "lm", versionSafetyMargin)
		}
		left := f.liveGauge(t, telemetry.MetricVersionMandatoryIn)["lm 2 last answer"]
		time.Sleep(time.Duration(left*float64(time.Second)) - time.Millisecond)
		assert.Equal(t, minVersion(), uint64(1))
		time.Sleep(time.Millisecond)
		assert.Equal(t, minVersion(), uint64(2))
	})
}

func TestMandatoryInIsBounded(t *testing.T) {
	f := newVersionFixture(t, time.Hour)
	now := time.Now()
	for version := uint64(2); version <= 12; version++ {
		f.directory.SetDeclaration("m", versiontest.Declared(version, now))
	}
	values := f.liveGauge(t, telemetry.MetricVersionMandatoryIn)
	assert.Equal(t, len(values), maxReportedVersions)
	_, ok := values["lm 2 last answer"]
	assert.Assert(t, ok, "the next version that is due is missing")
}

// Guards against an entry that goes on with an old version and one that takes an engine
// for newer looking the same.
func TestLastAttemptAgeTellsUntilWhenAVersionWasUsed(t *testing.T) {
	f := newVersionFixture(t, time.Hour)
	f.listEndpoint(t, 1, respondWith("response"))
	assert.DeepEqual(t, f.liveGauge(t, telemetry.MetricLastAttemptAge), map[string]float64{})
	assert.Equal(t, f.requestEnd(t)["outcome"], "answered")
	values := f.liveGauge(t, telemetry.MetricLastAttemptAge)
	age, ok := values["lm 1"]
	assert.Assert(t, ok && len(values) == 1 && age >= 0 && age < 60, values)
}

func TestLastAttemptsAreBounded(t *testing.T) {
	l := newLastAttempts()
	start := time.Now()
	for i := range 10 {
		l.record(start.Add(time.Duration(i)*time.Second), "lm", uint64(i))
	}
	l.record(start.Add(time.Minute), "lm", 6)
	l.record(start.Add(time.Hour), "lm", 10)
	assert.DeepEqual(t, l.byVersion("lm"), map[uint64]time.Time{
		6: start.Add(time.Minute), 8: start.Add(8 * time.Second), 9: start.Add(9 * time.Second), 10: start.Add(time.Hour),
	})
}

// counter returns the value of a counter, 0 if it is not reported.
func (f *versionFixture) counter(name string, tags map[string]string) int64 {
	if counter, ok := f.scope.Snapshot().Counters()[tally.KeyForPrefixedStringMap(name, tags)]; ok {
		return counter.Value()
	}
	return 0
}

func TestAttemptsAreCountedByVersion(t *testing.T) {
	f := newVersionFixture(t, time.Hour)
	attempts := func(relation, source string) int64 {
		return f.counter(telemetry.MetricAttemptsByVersion, map[string]string{telemetry.TagService: "lm", telemetry.TagRelation: relation, telemetry.TagSource: source})
	}
	f.listEndpoint(t, 2, respondWith("response"))
	f.requestEnd(t)
	assert.Equal(t, attempts("newer", "report"), int64(1))
	f.directory.SetDeclaration("m", versiontest.Declared(2, time.Now().Add(-2*time.Hour)))
	f.requestEnd(t)
	assert.Equal(t, attempts("minimum", "report"), int64(1))

	// A version becomes mandatory between the choice and the sending.
	grant, err := (*f.gateway.services.Load())["lm"].gate.Acquire(t.Context(), admission.Request{HardDeadline: time.Now().Add(time.Minute)})
	assert.NilError(t, err)
	f.directory.SetDeclaration("m", versiontest.Declared(3, time.Now().Add(-2*time.Hour)))
	req := &request{logger: f.log.logger(), service: (*f.gateway.services.Load())["lm"]}
	caller := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://h.example/once/", strings.NewReader("body"))
	attempt, _, err := f.gateway.send(t.Context(), caller, req, grant, "")
	attempt.end(admission.Cancelled)
	assert.NilError(t, err)
	assert.Equal(t, attempts("older", "report"), int64(1))
}

func TestCancelledOutdatedRequestsAreCounted(t *testing.T) {
	f := newVersionFixture(t, time.Hour)
	f.listEndpoint(t, 1, respondWith("response"))
	var cause error
	cancel := context.CancelCauseFunc(func(err error) { cause = err })
	f.gateway.unstarted.add(&admission.Grant{EndpointID: "i-0"}, &request{service: (*f.gateway.services.Load())["lm"]}, cancel, nil)
	f.gateway.cancelOutdated(f.directory.View(), "lm", (*f.gateway.services.Load())["lm"], 2)
	assert.ErrorIs(t, cause, errVersionTooOld)
	assert.Equal(t, f.counter(telemetry.MetricOutdatedCancellations, map[string]string{telemetry.TagService: "lm"}), int64(1))
}

// Guards against an entry that takes an endpoint for newer than it is, without a trace.
func TestReportOfAnOlderVersionThanBelievedIsCountedAndLogged(t *testing.T) {
	f := newVersionFixture(t, time.Hour)
	f.directory.PutEndpoint(&directory.Endpoint{ID: "i-0", Service: "lm", Address: "10.0.0.1:80", Slots: 4, LoadedVersion: 2})
	agent := netip.MustParseAddr("10.0.0.1")
	corrections := func() int64 {
		return f.counter(telemetry.MetricVersionCorrections, map[string]string{telemetry.TagService: "lm"})
	}
	for _, version := range []uint64{2, 0, 2, 3} {
		f.gateway.applyReport(time.Now(), agent, loadreport.Report{LoadedVersion: version, ClosesIn: loadreport.UnknownDuration})
	}
	assert.Equal(t, corrections(), int64(0), "a version that rises, and one that is being loaded")
	f.gateway.applyReport(time.Now(), agent, loadreport.Report{LoadedVersion: 1, ClosesIn: loadreport.UnknownDuration})
	assert.Equal(t, corrections(), int64(1))
	assert.DeepEqual(t, withoutHeader(f.log.lines(t, "endpoint has an older version than was believed")), []map[string]any{
		{"endpoint": "i-0", "held": 1.0, "believed": 3.0},
	})
}

// Guards against gauges that a collector cuts off, which keeps the start of the page only.
func TestVersionGaugesAreInTheKeptPartOfThePage(t *testing.T) {
	const keptBytes = 4000
	tel, err := telemetry.Start(t.Context(), telemetry.Config{LogOutput: &bytes.Buffer{}, Settings: settings.Telemetry{LogLevel: "info"}})
	assert.NilError(t, err)
	f := newVersionFixture(t, 8*time.Second)
	f.gateway.versions.scope, f.gateway.metrics.scope = tel.Scope, tel.Scope
	services := map[string]*directory.Service{}
	for _, name := range []string{"service-one", "service-two"} {
		services[name] = &directory.Service{Name: name, Model: name, Engine: &directory.Engine{}}
	}
	f.directory.SetDocument(&directory.Document{Version: 2, Services: services})
	now := time.Now()
	for name := range services {
		for version := range uint64(maxReportedVersions) {
			f.directory.SetDeclaration(name, versiontest.Declared(directory.FirstVersion+1+version, now.Add(-1234567*time.Microsecond)))
		}
		for version := range uint64(maxAttemptVersions) {
			f.gateway.metrics.lastAttempts.record(now, name, version)
		}
	}
	f.gateway.metrics.updateQuarantined(0)
	tel.Scope.Gauge(telemetry.MetricDroppedLogLines).Update(0)
	assert.NilError(t, tel.AddLiveGauges(f.gateway.LiveGauges()...))
	assert.NilError(t, tel.AddLiveGauges(telemetry.LiveGauge{Name: telemetry.MetricStoreAnswerAge, Read: func(report func(float64, ...string)) { report(1.234567891) }}))
	assert.NilError(t, tel.Shutdown(t.Context())) // Flushes the scope.
	recorder := httptest.NewRecorder()
	tel.Handler(func() error { return nil }).ServeHTTP(recorder, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/metrics", nil))
	kept := recorder.Body.String()[:keptBytes]
	assert.Equal(t, strings.Count(kept, "\nsnipestep_version_mandatory_in_seconds{"), len(services)*maxReportedVersions, kept)
	assert.Equal(t, strings.Count(kept, "\nsnipestep_last_attempt_age_seconds{"), len(services)*maxAttemptVersions, kept)
	for _, name := range []string{telemetry.MetricMinVersion, telemetry.MetricDeclaredVersion, telemetry.MetricDeclaredVersionAge, telemetry.MetricStoreAnswerAge, telemetry.MetricDroppedLogLines} {
		assert.Assert(t, strings.Contains(kept, fmt.Sprintf("# TYPE snipestep_%s gauge", name)), name)
	}
}

// Guards against requests at endpoints that stand still being told neither on the metrics page nor in
// the log.
func TestRequestAtASilentAgentIsTold(t *testing.T) {
	f := newVersionFixture(t, time.Hour)
	f.listEndpoint(t, 1, respondWith("response"))
	s := (*f.gateway.services.Load())["lm"]
	heard := func(age time.Duration) {
		s.gate.Update(func(p *admission.Pool) {
			p.Report("i-0", admission.Report{ReceivedAt: time.Now().Add(-age), LoadedVersion: 1})
		})
	}
	grant, err := s.gate.Acquire(t.Context(), admission.Request{HardDeadline: time.Now().Add(time.Minute)})
	assert.NilError(t, err)
	heard(0)
	assert.DeepEqual(t, f.liveGauge(t, telemetry.MetricAtSilentAgents), map[string]float64{})
	heard(time.Hour)
	assert.DeepEqual(t, f.liveGauge(t, telemetry.MetricAtSilentAgents), map[string]float64{"lm": 1})

	req := &request{logger: f.log.logger(), service: s, lastEndpointID: grant.EndpointID}
	f.gateway.recordFailedAttempt(t.Context(), req, &endpointAttempt{grant: grant, cancel: func() {}}, true, admission.Cancelled, context.Canceled)
	assert.Equal(t, f.log.lines(t, "attempt failed")[0]["agent_silent_at_end"], true)
	f.gateway.finish(req, outcomeLeft, 0)
	assert.Equal(t, f.counter(telemetry.MetricLeftAtSilentAgents, map[string]string{telemetry.TagService: "lm"}), int64(1))
}
