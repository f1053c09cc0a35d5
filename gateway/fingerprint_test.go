package gateway

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against logs that can't tell whether the requests that were broken off at two
// crashes were the same one.
func TestRepeatedRequestHasTheSameFingerprintInTheLog(t *testing.T) {
	f := newFixture(t, respondWith("response"))
	var log logRecorder
	f.gateway.deps.Logger = slog.New(slog.NewJSONHandler(&log, nil))
	send := func(attemptID, path, body string) {
		r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://h.example"+path, strings.NewReader(body))
		r.Header.Set("Id", attemptID)
		r.Header.Set("Key", "k")
		f.gateway.ServeHTTP(httptest.NewRecorder(), r)
	}
	send("1", "/again/", "body")
	send("2", "/again/", "body")
	send("3", "/again/", "BODY")
	send("4", "/again/other", "body")

	var fingerprints []any
	for _, line := range log.lines(t, "request ended") {
		fingerprints = append(fingerprints, line["fingerprint"])
	}
	assert.Equal(t, len(fingerprints), 4)
	assert.Assert(t, fingerprints[0] != "" && fingerprints[0] != nil)
	assert.Equal(t, fingerprints[0], fingerprints[1])
	assert.Assert(t, fingerprints[0] != fingerprints[2])
	assert.Assert(t, fingerprints[0] != fingerprints[3])
	assert.Assert(t, fingerprints[2] != fingerprints[3])
}
