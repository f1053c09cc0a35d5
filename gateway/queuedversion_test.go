package gateway

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/internal/versiontest"
	"github.com/snipestep/snipestep/loadreport"
	"github.com/snipestep/snipestep/routing/admission"
)

// withEngine adds the service "lm" with one engine, "engine", that has loaded version 1
// and whose agent reports so. It returns the address of the engine.
func (f *fixture) withEngine(t *testing.T, server *httptest.Server) netip.AddrPort {
	t.Helper()
	document := &directory.Document{
		Version:  2,
		Services: map[string]*directory.Service{"lm": {Name: "lm", Model: "m", Engine: &directory.Engine{}}},
	}
	document.SetRoutes([]*directory.Route{{
		Name: "lm", Host: "h.example", Prefix: "/lm/", Kind: directory.Streaming, Resumable: true, Timeout: time.Minute,
		LatencyTarget: time.Minute, GapTarget: time.Minute, MaxRuns: 2, Backends: []directory.Backend{{Service: "lm", Weight: 1}},
	}})
	f.directory.SetDocument(document)
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	f.directory.PutEndpoint(&directory.Endpoint{
		ID: "engine", Service: "lm", Address: address.String(), Region: "r", Slots: 4, LoadedVersion: 1, StartedUnixMS: 1,
	})
	f.gateway.applyReport(time.Now(), address.Addr(), loadreport.Report{LoadedVersion: 1, ClosesIn: loadreport.UnknownDuration})
	return address
}

// Guards against a request that begins on a version after its bound: it was queued at an
// engine whose version is no longer known when the bound ends.
func TestQueuedRequestIsCancelledAtAnEngineOfUnknownVersion(t *testing.T) {
	for name, lose := range map[string]func(f *fixture, address netip.AddrPort){
		"the engine does not answer its agent": func(f *fixture, address netip.AddrPort) {
			f.gateway.applyReport(time.Now(), address.Addr(), loadreport.Report{Closed: true, ClosesIn: loadreport.UnknownDuration})
		},
		"the endpoint left the list": func(f *fixture, _ netip.AddrPort) {
			f.directory.DropEndpoint(time.Now(), "engine")
		},
		"another incarnation is listed at its address": func(f *fixture, address netip.AddrPort) {
			f.directory.PutEndpoint(&directory.Endpoint{
				ID: "engine-2", Service: "lm", Address: address.String(), Region: "r", Slots: 4, StartedUnixMS: 2,
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			endpoint, reached, left := silentEndpoint()
			server := httptest.NewServer(endpoint)
			t.Cleanup(server.Close)
			f := newFixture(t)
			address := f.withEngine(t, server)
			go func() { _, _, _ = f.send(t, "/lm/", nil) }()
			<-reached
			f.directory.SetDeclaration("m", versiontest.Declared(2, time.Now().Add(-f.gateway.config.VersionBound)))
			lose(f, address)
			f.gateway.cancelOutdated(f.directory.View(), "lm", (*f.gateway.services.Load())["lm"], 2)
			select {
			case <-left:
			case <-time.After(10 * time.Second):
				t.Fatal("the request is still queued at the engine")
			}
		})
	}
}

// Guards against cancelled requests at engines that have the required version, or that
// loaded it while the requests were queued.
func TestQueuedRequestStaysAtAnEngineWithTheRequiredVersion(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(server.Close)
	f := newFixture(t)
	address := f.withEngine(t, server)
	service := (*f.gateway.services.Load())["lm"]
	grant := &admission.Grant{EndpointID: "engine", Estimate: admission.LoadEstimate{LoadedVersion: 1}}
	cancelled := false
	f.gateway.unstarted.add(grant, &request{service: service}, func(error) { cancelled = true }, nil)
	f.gateway.applyReport(time.Now(), address.Addr(), loadreport.Report{LoadedVersion: 2, ClosesIn: loadreport.UnknownDuration})
	f.gateway.cancelOutdated(f.directory.View(), "lm", service, 2)
	assert.Assert(t, !cancelled, "the engine has loaded the required version")
	f.directory.DropEndpoint(time.Now(), "engine")
	f.gateway.cancelOutdated(f.directory.View(), "lm", service, 1)
	assert.Assert(t, !cancelled, "the version at the choice is the required one")
	f.gateway.cancelOutdated(f.directory.View(), "lm", service, 2)
	assert.Assert(t, cancelled)
}

// Guards against a request that begins on a version after its bound while a document adds
// or removes the service: a view that does not name the service lifts its minimum version.
func TestViewWithoutAServiceKeepsItsMinimumVersion(t *testing.T) {
	f := newFixture(t)
	server := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(server.Close)
	f.withEngine(t, server)
	f.directory.SetDeclaration("m", versiontest.Declared(2, time.Now().Add(-f.gateway.config.VersionBound)))
	refusedBelow := func() uint64 {
		_, err := (*f.gateway.services.Load())["lm"].gate.Acquire(t.Context(), admission.Request{})
		var refused *admission.RefusedError
		assert.Assert(t, errors.As(err, &refused), "a slot at version 1 was granted")
		return refused.MinVersion
	}
	assert.Equal(t, refusedBelow(), uint64(2))
	without := *f.directory.View()
	without.Document = &directory.Document{Version: 1}
	f.gateway.enforceVersionsAt(time.Now(), &without)
	assert.Equal(t, refusedBelow(), uint64(2))
}
