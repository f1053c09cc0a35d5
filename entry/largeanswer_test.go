package entry

import (
	"bytes"
	"context"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/endpoint"
)

// largeAnswerService answers each call with a body.
type largeAnswerService struct {
	endpoint.PlainService
	body []byte
}

// Call implements endpoint.PlainService.
func (s *largeAnswerService) Call(_ context.Context, request endpoint.PlainRequest) (endpoint.PlainResponse, error) {
	return endpoint.PlainResponse{Attempt: request.Attempt, Status: http.StatusOK, Body: s.body}, nil
}

// Guards against a whole answer of a plain service that counts as a lost session, so that its
// request is quarantined as one that crashes endpoints.
func TestLargestPlainAnswerReachesTheCaller(t *testing.T) {
	body := bytes.Repeat([]byte("x"), endpoint.MaxPlainResponseBytes)
	f := newTestFleet(t, 0, 1, 1, func(f *testFleet) {
		f.wrapPlain = func(service endpoint.PlainService) endpoint.PlainService {
			return &largeAnswerService{service, body}
		}
	})
	f.awaitAgents()
	f.waitUntil("endpoints of the service", func() bool {
		status, _, _ := f.post(0, "/v1/services/counter/balance", `{}`)
		return status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests
	})
	status, _, answer := f.post(0, "/v1/services/counter/balance", `{"account":1}`)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, len(answer), len(body))
}
