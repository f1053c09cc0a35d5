package gateway

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/internal/versiontest"
	"github.com/snipestep/snipestep/loadreport"
	"github.com/snipestep/snipestep/routing/admission"
	"github.com/snipestep/snipestep/telemetry"
)

// Guards against causes of a run on an outdated version that look the same on the metrics
// page: a deadline that is dropped, one that is late, and an endpoint that is taken for
// newer than it is. Versions 2, 3 and 4 are declared at 0 s, 3 s and 6 s; requests are
// sent all the time, the page is read at 9 s.
func TestCausesOfAnOutdatedRunAreToldApart(t *testing.T) {
	const (
		bound  = 8 * time.Second
		readAt = 9 * time.Second
		late   = 600 * time.Millisecond
		step   = 100 * time.Millisecond
	)
	type state struct {
		MandatoryIn, AttemptAge map[string]float64
		Corrections             int64
	}
	// play declares the versions learnt at the times given and keeps sending requests to
	// an engine of the version that the endpoint list names.
	play := func(t *testing.T, learntAt map[uint64]time.Duration, listed func(at time.Duration) uint64) state {
		f := newVersionFixture(t, bound)
		for at := time.Duration(0); at < readAt; at += step {
			for version, learntAt := range learntAt {
				if learntAt == at {
					f.directory.SetDeclaration("m", versiontest.Declared(version, time.Now()))
				}
			}
			f.directory.PutEndpoint(&directory.Endpoint{ID: "i-0", Service: "lm", Address: "10.0.0.1:80", Region: "r", Slots: 4, LoadedVersion: listed(at)})
			gate := (*f.gateway.services.Load())["lm"].gate
			minVersion := f.gateway.minVersion(time.Now(), f.directory.View(), "lm", versionSafetyMargin)
			gate.Update(func(p *admission.Pool) { p.SetMinVersion(minVersion) })
			if grant, err := gate.Acquire(t.Context(), admission.Request{HardDeadline: time.Now()}); err == nil {
				f.gateway.metrics.recordAttemptVersion(time.Now(), "lm", grant.Estimate, minVersion)
				grant.Done(admission.Served)
			}
			time.Sleep(step)
		}
		f.gateway.applyReport(time.Now(), netip.MustParseAddr("10.0.0.1"), loadreport.Report{LoadedVersion: 1, ClosesIn: loadreport.UnknownDuration})
		return state{
			MandatoryIn: f.liveGauge(t, telemetry.MetricVersionMandatoryIn),
			AttemptAge:  f.liveGauge(t, telemetry.MetricLastAttemptAge),
			Corrections: f.counter(telemetry.MetricVersionCorrections, map[string]string{telemetry.TagService: "lm"}),
		}
	}
	inTime := map[uint64]time.Duration{2: 0, 3: 3 * time.Second, 4: 6 * time.Second}
	versionOne := func(time.Duration) uint64 { return 1 }
	t.Run("none", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			assert.DeepEqual(t, play(t, inTime, versionOne), state{
				MandatoryIn: map[string]float64{"lm 2 last answer": -1.5, "lm 3 last answer": 1.5, "lm 4 last answer": 4.5},
				AttemptAge:  map[string]float64{"lm 1": 1.6}, // It stopped in time, 7.4 s after the declaration.
			})
		})
	})
	t.Run("dropped deadline", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			assert.DeepEqual(t, play(t, map[uint64]time.Duration{3: inTime[3], 4: inTime[4]}, versionOne), state{
				MandatoryIn: map[string]float64{"lm 3 last answer": 1.5, "lm 4 last answer": 4.5},
				AttemptAge:  map[string]float64{"lm 1": 0.1},
			})
		})
	})
	t.Run("late deadline", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			assert.DeepEqual(t, play(t, map[uint64]time.Duration{2: late, 3: inTime[3], 4: inTime[4]}, versionOne), state{
				MandatoryIn: map[string]float64{"lm 2 last answer": -0.9, "lm 3 last answer": 1.5, "lm 4 last answer": 4.5},
				AttemptAge:  map[string]float64{"lm 1": 1},
			})
		})
	})
	t.Run("endpoint taken for newer", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			tooNew := func(at time.Duration) uint64 {
				if at >= 5*time.Second {
					return 2
				}
				return 1
			}
			assert.DeepEqual(t, play(t, inTime, tooNew), state{
				MandatoryIn: map[string]float64{"lm 2 last answer": -1.5, "lm 3 last answer": 1.5, "lm 4 last answer": 4.5},
				AttemptAge:  map[string]float64{"lm 1": 4.1, "lm 2": 0.1},
				Corrections: 1,
			})
		})
	})
}
