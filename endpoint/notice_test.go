package endpoint_test

import (
	"net/http"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/endpoint"
)

// Guards against a limit that the agent does not learn of: from answers, from refusals, and from
// answers to another request.
func TestNoticesOfEachAnswerArePassedOn(t *testing.T) {
	for name, c := range map[string]struct {
		status  int
		attempt string
		limits  []string
		want    endpoint.Notice
	}{
		"nothing":         {status: 200, attempt: "a", want: endpoint.Notice{Own: true}},
		"limit":           {status: 200, attempt: "a", limits: []string{" 2.5"}, want: endpoint.Notice{Own: true, Limited: true, PerSecond: 2.5}},
		"lowest of two":   {status: 200, attempt: "a", limits: []string{"3", "2"}, want: endpoint.Notice{Own: true, Limited: true, PerSecond: 2}},
		"zero":            {status: 503, attempt: "a", limits: []string{"0"}, want: endpoint.Notice{Own: true, Limited: true}},
		"malformed":       {status: 200, attempt: "a", limits: []string{"-1", "NaN", ""}, want: endpoint.Notice{Own: true, LimitUnknown: true}},
		"another attempt": {status: 503, attempt: "b", limits: []string{"2"}, want: endpoint.Notice{Limited: true, PerSecond: 2}},
	} {
		config := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(endpoint.AttemptHeader, c.attempt)
			w.Header()[http.CanonicalHeaderKey(endpoint.RateLimitHeader)] = c.limits
			w.WriteHeader(c.status)
		}))
		var got []endpoint.Notice
		onNotice := func(notice endpoint.Notice) { got = append(got, notice) }
		stream, err := endpoint.NewHTTPEngine(config).Generate(t.Context(), endpoint.GenerateRequest{Attempt: "a", OnNotice: onNotice})
		if err == nil {
			_ = stream.Close()
		}
		_, _ = endpoint.NewHTTPPlainService(config).Call(t.Context(), endpoint.PlainRequest{Attempt: "a", Operation: "o", OnNotice: onNotice})
		want := []endpoint.Notice{c.want, c.want} // Of the stream and of the call.
		assert.Assert(t, slices.Equal(got, want), "%s: %v", name, got)
	}
}
