package endpoint_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/endpoint"
	"github.com/snipestep/snipestep/internal/httpcall"
)

// refuseAs returns an endpoint that refuses requests with the identifier of another one, or
// without any if attempt is empty.
func refuseAs(attempt string, status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if attempt != "" {
			w.Header().Set(endpoint.AttemptHeader, attempt)
		}
		w.Header().Set(endpoint.RunHeader, endpoint.RunNotRun)
		httpcall.WriteError(w, status, httpcall.ErrorDocument{Code: endpoint.CodeFenced, HighestFence: 7, RetryAfterMS: 1000})
	}
}

// Guards against "cannot have begun" for a request that an endpoint may be running: a faulty
// endpoint writes an earlier refusal once more on a kept connection.
func TestRefusalOfAnotherRequestTellsNothing(t *testing.T) {
	for name, attempt := range map[string]string{"another identifier": "b", "no identifier": ""} {
		for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusConflict, http.StatusNotFound} {
			config := startServer(t, refuseAs(attempt, status))
			_, err := endpoint.NewHTTPEngine(config).Generate(t.Context(), endpoint.GenerateRequest{Attempt: "a"})
			assertMayHaveStarted(t, name+", generate", err)
			_, err = endpoint.NewHTTPPlainService(config).Call(t.Context(), endpoint.PlainRequest{Attempt: "a", Operation: "o"})
			assertMayHaveStarted(t, name+", call", err)
			_, err = endpoint.NewHTTPEngine(config).Order(t.Context(), endpoint.Order{Fence: 1})
			assertMayHaveStarted(t, name+", order", err)
		}
	}
}

func assertMayHaveStarted(t *testing.T, name string, err error) {
	t.Helper()
	assert.Assert(t, isError[*endpoint.AttemptMismatchError](err) || isError[*endpoint.BrokenError](err), "%s: got %v", name, err)
	assert.Assert(t, !isError[*endpoint.NotStartedError](err) && !isError[*endpoint.FencedError](err), "%s: got %v", name, err)
}
