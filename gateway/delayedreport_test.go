package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/loadreport"
	"github.com/snipestep/snipestep/routing/admission"
)

// Guards against a request that begins on a version that its engine no longer has: the
// engine restarted, and a report from before arrives after one from then.
func TestReportThatWasOvertakenIsIgnored(t *testing.T) {
	echo := func(subscribed, agentDelay time.Duration) loadreport.Echo {
		return loadreport.Echo{Known: true, Timestamp: loadreport.TimestampAt(subscribed), AgentDelay: agentDelay}
	}
	const second = time.Second
	for name, echoes := range map[string]struct{ overtaken, newer loadreport.Echo }{
		"of the same subscription":                 {echo(70*second, 100*time.Millisecond), echo(70*second, 200*time.Millisecond)},
		"of the subscription before":               {echo(69*second, 900*time.Millisecond), echo(70*second, 0)},
		"of a subscription before the clock wraps": {echo(65*second, 0), echo(66*second, 0)},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.NotFoundHandler())
			t.Cleanup(server.Close)
			f := newFixture(t)
			address := f.withEngine(t, server)
			now := f.gateway.startedAt.Add(71 * second)
			restarted := loadreport.Report{Closed: true, ClosesIn: loadreport.UnknownDuration, Echo: echoes.newer}
			f.gateway.applyReport(now, address.Addr(), restarted)
			overtaken := loadreport.Report{LoadedVersion: 2, ClosesIn: loadreport.UnknownDuration, Entries: 9, Echo: echoes.overtaken}
			f.gateway.applyReport(now, address.Addr(), overtaken)
			assert.Equal(t, f.loadedVersion(now), uint64(0))
			assert.Equal(t, f.gateway.entryCount.Load(), int64(0))
			assert.Assert(t, f.gateway.migratable.closed["engine"])

			next := loadreport.Report{LoadedVersion: 2, ClosesIn: loadreport.UnknownDuration, Echo: echoes.newer}
			f.gateway.applyReport(now, address.Addr(), next)
			assert.Equal(t, f.loadedVersion(now), uint64(2))
		})
	}
}

// loadedVersion returns the version that the gateway knows of the endpoint "engine".
func (f *fixture) loadedVersion(now time.Time) (version uint64) {
	(*f.gateway.services.Load())["lm"].gate.Update(func(p *admission.Pool) { version = p.LoadedVersion(now, "engine") })
	return version
}
