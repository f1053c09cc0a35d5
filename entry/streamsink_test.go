package entry

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/problem"
)

// Guards against a stream that broke off and that looks complete to whatever reads only the
// framing of the response: proxies, and callers that do not look for the last event.
func TestBrokenStreamIsNotFramedAsComplete(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		sink := newStreamSink(w, "id", "m")
		_ = sink.writeToken("v1", "Dear ")
		sink.abort(problem.Problem{Status: http.StatusBadGateway, Code: CodeRetriesExceeded})
	}))
	defer server.Close()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, http.NoBody)
	assert.NilError(t, err)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Assert(t, strings.Contains(string(body), "event: error\ndata: {"), "the caller still gets the reason: %s", body)
}
