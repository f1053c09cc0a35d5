package gateway

import (
	"maps"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/routing/admission"
)

// Guards against endpoints that get requests in their pause, or beyond their rate limit,
// because a document without their service came in between.
func TestPausesAndRateLimitsOutliveADocumentWithoutTheService(t *testing.T) {
	f := newFixture(t, http.NotFound, http.NotFound)
	now := time.Now()
	(*f.gateway.services.Load())["s"].gate.Update(func(p *admission.Pool) {
		p.Rest(now, admission.Incarnation{ID: "i-0"}, now.Add(time.Minute))
		p.RecordRateLimit(admission.Incarnation{ID: "i-1", StartedUnixMS: 1}, admission.RateLimitNotice{Limited: true, PerSecond: 1, At: now})
	})
	with := f.directory.View().Document
	setServices := func(version uint64, services map[string]*directory.Service) {
		document := *with
		document.Version, document.Services = version, services
		f.directory.SetDocument(&document)
	}
	others := maps.Clone(with.Services)
	delete(others, "s")
	setServices(2, others)
	assert.Assert(t, (*f.gateway.services.Load())["s"] == nil)
	setServices(3, with.Services)
	(*f.gateway.services.Load())["s"].gate.Inspect(func(p *admission.Pool) {
		assert.Assert(t, p.Resting(now, "i-0"))
		assert.Equal(t, p.RateLimited(), 1)
	})
}
