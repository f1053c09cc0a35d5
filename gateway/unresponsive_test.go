package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/routing/admission"
	"github.com/snipestep/snipestep/telemetry"
)

// frozenTransport serves endpoints of which the first stands still.
type frozenTransport struct {
	frozenAddress string
	// sentEvents is what the endpoint that stands still has sent before.
	sentEvents string
	answer     string
}

// RoundTrip implements http.RoundTripper.
func (f *frozenTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	header := http.Header{"Id": r.Header["Id"]}
	if r.URL.Host != f.frozenAddress {
		return &http.Response{StatusCode: http.StatusOK, Header: header, Body: io.NopCloser(strings.NewReader(f.answer))}, nil
	}
	if f.sentEvents == "" {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	body := io.MultiReader(strings.NewReader(f.sentEvents), &slowBody{request: r, delay: time.Hour, ReadCloser: http.NoBody})
	return &http.Response{StatusCode: http.StatusOK, Header: header, Body: io.NopCloser(body)}, nil
}

// Guards against a request that stands at an endpoint whose instance is frozen until its caller leaves,
// while requests that came later get the slots of other endpoints.
func TestRequestAtAFrozenEndpointMovesBeforeLaterRequests(t *testing.T) {
	const (
		reportInterval = 100 * time.Millisecond
		// slotInterval is the time after which the sound endpoint has a free slot, again and again.
		slotInterval = 200 * time.Millisecond
		patience     = 2 * time.Second
		slots        = 4
	)
	for name, test := range map[string]struct {
		path, sentEvents, answer string
	}{
		"stream without an event": {path: "/stream/", answer: eventStream(4)},
		"stream with two events":  {path: "/stream/", sentEvents: eventStream(2), answer: eventStream(4)[len(eventStream(2)):]},
		"idempotent request":      {path: "/again/", answer: "response"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newOfflineFixture()
				document := *f.directory.View().Document
				document.Version++
				document.Services = map[string]*directory.Service{"lm": {Name: "lm", Model: "m", Engine: &directory.Engine{}}}
				for _, path := range []string{"/stream/", "/again/"} {
					route := document.Match("h.example", path)
					route.Backends = []directory.Backend{{Service: "lm", Weight: 1}}
					route.Timeout, route.LatencyTarget, route.GapTarget = time.Minute, time.Second, 300*time.Millisecond
				}
				f.directory.SetDocument(&document)
				for id, address := range map[string]string{"frozen": "127.0.0.1:1", "sound": "127.0.0.1:2"} {
					f.directory.PutEndpoint(&directory.Endpoint{ID: id, Service: "lm", Address: address, Region: "r", Slots: slots, LoadedVersion: 1})
				}
				f.gateway.deps.Transport = &frozenTransport{frozenAddress: "127.0.0.1:1", sentEvents: test.sentEvents, answer: test.answer}
				gate := (*f.gateway.services.Load())["lm"].gate
				report := func(endpointID string) {
					gate.Update(func(p *admission.Pool) {
						p.Report(endpointID, admission.Report{ReceivedAt: time.Now(), LoadedVersion: 1})
					})
				}
				report("frozen")
				report("sound")
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				running := make(chan *admission.Grant, slots)
				for range slots {
					running <- gate.TryAcquire(admission.Request{ExcludedEndpoints: []string{"frozen"}})
				}
				go f.gateway.superviseAttempts(ctx)
				go every(ctx, reportInterval, func() { report("sound") })
				go every(ctx, slotInterval, func() { (<-running).Done(admission.Served) })
				// Later requests wait for each slot, and hold it as long as those before.
				go every(ctx, slotInterval/2, func() {
					go func() {
						now := time.Now()
						grant, err := gate.Acquire(ctx, admission.Request{ArrivedAt: now, SoftDeadline: now.Add(patience), HardDeadline: now.Add(patience), ExcludedEndpoints: []string{"frozen"}})
						if err == nil {
							running <- grant
						}
					}()
				})

				caller, leave := context.WithTimeout(ctx, patience)
				defer leave()
				r := httptest.NewRequestWithContext(caller, http.MethodPost, "http://h.example"+test.path, strings.NewReader("x"))
				r.Header.Set("Id", "1")
				r.Header.Set("Key", "k")
				answer := httptest.NewRecorder()
				func() {
					defer func() { _ = recover() }() // The handler panics when the caller has left.
					f.gateway.ServeHTTP(answer, r)
				}()
				assert.NilError(t, caller.Err(), "the caller has left")
				assert.Equal(t, answer.Body.String(), test.sentEvents+test.answer)
			})
		})
	}
}

// every runs f at an interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}

// fakeProber answers probes, or fails them.
type fakeProber struct {
	err    error
	probes atomic.Int64
}

// Probe implements Prober.
func (p *fakeProber) Probe(context.Context, string) error {
	p.probes.Add(1)
	return p.err
}

// Guards against an endpoint whose agent alone has died getting no requests, and against probes and
// changes of its state that are not told.
func TestProbeTellsWhetherASilentEndpointGetsRequests(t *testing.T) {
	for outcome, err := range map[string]error{"answered": nil, "failed": context.DeadlineExceeded} {
		t.Run(outcome, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newVersionFixture(t, time.Hour)
				prober := &fakeProber{err: err}
				f.gateway.deps.Prober = prober
				f.directory.PutEndpoint(&directory.Endpoint{ID: "i-0", Service: "lm", Address: "127.0.0.1:1", Region: "r", Slots: 4, LoadedVersion: 1})
				s := f.gateway.newService(f.directory.View().Document.Services["lm"])
				f.gateway.services.Store(&map[string]*service{"lm": s}) // The fixture's has no prober.
				f.gateway.applyView(f.directory.View())
				s.gate.Update(func(p *admission.Pool) {
					p.Report("i-0", admission.Report{ReceivedAt: time.Now(), LoadedVersion: 1})
				})
				go f.gateway.superviseAttempts(t.Context())
				time.Sleep(900 * time.Millisecond) // A second probe follows after 1 s.
				_, acquireErr := s.gate.Acquire(t.Context(), admission.Request{ArrivedAt: time.Now(), HardDeadline: time.Now()})
				assert.Equal(t, acquireErr == nil, err == nil)
				assert.Equal(t, prober.probes.Load(), int64(1))
				tags := map[string]string{telemetry.TagService: "lm", telemetry.TagOutcome: outcome}
				assert.Equal(t, f.counter(telemetry.MetricProbes, tags), int64(1))
			})
		})
	}
}
