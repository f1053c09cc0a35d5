package gateway

import (
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/routing/admission"
)

// A choice without any report of the endpoint looked like one on a fresh report.
func TestAbsentReportIsNotLoggedAsFresh(t *testing.T) {
	f := newVersionFixture(t, time.Hour)
	reportAge := func(age time.Duration) (ended, failed any) {
		req := &request{logger: f.log.logger(), loadAtChoice: admission.LoadEstimate{ReportAge: age}}
		f.gateway.finish(req, "answered", 200)
		f.listEndpoint(t, 1, respondWith("response"))
		grant, err := (*f.gateway.services.Load())["lm"].gate.Acquire(t.Context(), admission.Request{HardDeadline: time.Now().Add(time.Minute)})
		assert.NilError(t, err)
		grant.Estimate.ReportAge = age
		f.gateway.recordFailedAttempt(t.Context(), req, &endpointAttempt{grant: grant, cancel: func() {}}, false, admission.NotRun, eris.New("refused"))
		endedLines, failedLines := f.log.lines(t, "request ended"), f.log.lines(t, "attempt failed")
		return endedLines[len(endedLines)-1]["report_age_ms"], failedLines[len(failedLines)-1]["report_age_ms"]
	}
	ended, failed := reportAge(-1)
	assert.Equal(t, ended, -1.0)
	assert.Equal(t, failed, -1.0)
	ended, failed = reportAge(1500 * time.Millisecond)
	assert.Equal(t, ended, 1500.0)
	assert.Equal(t, failed, 1500.0)
}
