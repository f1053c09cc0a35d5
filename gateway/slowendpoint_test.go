package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/routing/admission"
)

// slowTransport answers the first request after a delay, any other at once.
type slowTransport struct {
	delay time.Duration
	// inBody says that the delay is in the body, behind its first byte.
	inBody   bool
	requests int
}

// RoundTrip implements http.RoundTripper.
func (s *slowTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	s.requests++
	header := http.Header{"Id": r.Header["Id"]}
	body := io.NopCloser(strings.NewReader("response"))
	if s.requests > 1 {
		return &http.Response{StatusCode: http.StatusOK, Header: header, Body: body}, nil
	}
	if s.inBody {
		return &http.Response{StatusCode: http.StatusOK, Header: header, Body: &slowBody{request: r, delay: s.delay, ReadCloser: body}}, nil
	}
	if err := sleep(r, s.delay); err != nil {
		return nil, err
	}
	return &http.Response{StatusCode: http.StatusOK, Header: header, Body: body}, nil
}

// slowBody delays each read.
type slowBody struct {
	io.ReadCloser

	request *http.Request
	delay   time.Duration
}

func (s *slowBody) Read(p []byte) (int, error) {
	if err := sleep(s.request, s.delay); err != nil {
		return 0, err
	}
	s.delay = 0
	return s.ReadCloser.Read(p)
}

// sleep waits for a time, or until the request is cancelled.
func sleep(r *http.Request, d time.Duration) error {
	select {
	case <-r.Context().Done():
		return r.Context().Err()
	case <-time.After(d):
		return nil
	}
}

// Guards against a request that is given up on at a sound endpoint, which is silent for a second
// before or in its answer, although no other endpoint has a slot.
func TestSlowIdempotentAnswerIsAwaitedWhileNoOtherEndpointHasASlot(t *testing.T) {
	const (
		timeout = 1500 * time.Millisecond
		silence = 1100 * time.Millisecond
	)
	for name, test := range map[string]struct {
		inBody, full  bool
		took          time.Duration
		requestsTaken int
	}{
		"before the answer, others full":    {full: true, took: silence, requestsTaken: 1},
		"in the answer, others full":        {inBody: true, full: true, took: silence, requestsTaken: 1},
		"before the answer, a slot is free": {took: timeout * 45 / 100, requestsTaken: 2},
		"in the answer, another has a slot": {inBody: true, took: timeout * 45 / 100, requestsTaken: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newOfflineFixture()
				f.addEndpoint("127.0.0.1:1")
				f.addEndpoint("127.0.0.1:2")
				service := (*f.gateway.services.Load())["s"]
				for test.full && service.gate.TryAcquire(admission.Request{ExcludedEndpoints: []string{"i-0"}}) != nil {
					continue
				}
				route := f.directory.View().Document.Match("h.example", "/again/")
				route.Timeout = timeout
				transport := &slowTransport{delay: silence, inBody: test.inBody}
				f.gateway.deps.Transport = transport
				r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://h.example/again/", strings.NewReader("x"))
				r.Header.Set("Id", "1")
				r.Header.Set("Key", "k")
				answer := httptest.NewRecorder()
				began := time.Now()
				f.gateway.ServeHTTP(answer, r)
				assert.Equal(t, answer.Code, http.StatusOK)
				assert.Equal(t, answer.Body.String(), "response")
				assert.Equal(t, time.Since(began), test.took)
				assert.Equal(t, transport.requests, test.requestsTaken)
			})
		})
	}
}
