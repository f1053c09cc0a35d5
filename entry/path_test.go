package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/internal/fakes"
	"github.com/snipestep/snipestep/problem"
)

// complete runs one model call without streaming and returns the text and version
// of the response.
func (f *testFleet) complete(entry int, kind, prompt string, tokens int) (text, version string) {
	f.t.Helper()
	body := fmt.Sprintf(`{"model":"letters","max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, tokens, prompt)
	status, header, response := f.post(entry, "/v1/chat/completions", body, kindHeader, kind)
	assert.Equal(f.t, status, http.StatusOK, response)
	var chunk chatChunk
	assert.NilError(f.t, json.Unmarshal([]byte(response), &chunk))
	return chunk.Choices[0].Message.Content, header.Get(versionHeader)
}

func TestCallPath(t *testing.T) {
	f := newTestFleet(t, 4, 2, 2)
	f.awaitAgents()
	v1 := f.publish("v1")
	f.applyIntent(0, placeIntent("v1"))
	f.awaitServing(v1)
	for _, kind := range []string{"urgent", "", "background"} {
		f.waitUntil("an endpoint of v1, before the call of kind "+kind, func() bool {
			return f.entries[1].routes.table.Load().Serves("", v1)
		})
		text, version := f.complete(1, kind, "hello "+kind, 12)
		assert.Equal(t, version, "v1")
		assert.Equal(t, text, expectedText("hello "+kind, "v1", 12))
	}
	assert.Assert(t, f.origin.SentBytes()[v1.Manifest] <= 2*uint64(len("v1-weights-")*20000), "the origin sent more than two copies")

	purchaseJSON := `{"stamps":3}`
	status, _, first := f.post(0, "/v1/services/counter/purchase", purchaseJSON, "Idempotency-Key", "k1")
	assert.Equal(t, status, http.StatusOK, first)
	assert.Equal(t, first, string(fakes.PlainResponseBody("purchase", []byte(purchaseJSON))))
	f.waitUntil("the outcome is recorded", func() bool {
		status, _, again := f.post(1, "/v1/services/counter/purchase", purchaseJSON, "Idempotency-Key", "k1")
		return status == http.StatusOK && again == first
	})
	assert.Equal(t, f.runCounter.Runs("purchase", "k1", []byte(purchaseJSON)), 1)
	assert.Equal(t, f.runCounter.DoubleRuns("purchase"), 0)
}

func TestVersionChangeUnderLoadMixesNoVersions(t *testing.T) {
	f := newTestFleet(t, 4, 0, 2)
	f.awaitAgents()
	v1 := f.publish("v1")
	f.applyIntent(0, placeIntent("v1"))
	f.awaitServing(v1)
	v2 := f.publish("v2")
	var callers sync.WaitGroup
	stop := make(chan struct{})
	for c := range 6 {
		callers.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				prompt := fmt.Sprintf("c%d-%d", c, i)
				text, version := f.complete(c%2, "urgent", prompt, 15)
				if text != expectedText(prompt, version, 15) {
					t.Errorf("response to %q is not complete: %q", prompt, text)
				}
			}
		})
	}
	f.applyIntent(1, placeIntent("v2"))
	f.awaitServing(v2)
	close(stop)
	callers.Wait()
	for _, e := range f.engines {
		counts := e.Counts()
		assert.Equal(t, counts.MixedWeights, uint64(0))
		assert.Equal(t, counts.EndedByLoad, uint64(0))
	}
}

func TestBadInputGetsProblemDocuments(t *testing.T) {
	f := newTestFleet(t, 0, 0, 1)
	for _, path := range []string{"/v1/chat/completions", "/v1/completions", "/v1/services/counter/purchase"} {
		response, err := http.Get("http://" + f.entries[0].cfg.HTTPAddr + path)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, http.StatusMethodNotAllowed)
		assert.Equal(t, response.Header.Get("Content-Type"), problem.ContentType)
	}
	f.waitUntil("configuration", func() bool { return f.entries[0].Generation() > 0 })
	chat := "/v1/chat/completions"
	long := `{"model":"letters","prompt":"` + strings.Repeat("x", defaultMaxBody) + `"}`
	for _, c := range []struct {
		path, body string
		headers    []string
		status     int
		code       string
	}{
		{chat, `{`, nil, 400, CodeBadRequest},
		{chat, `[]`, nil, 400, CodeBadRequest},
		{chat, `{"model":"letters"}`, nil, 400, CodeBadRequest},
		{chat, `{"model":"letters","prompt":"p","max_tokens":-1}`, nil, 400, CodeBadRequest},
		{chat, `{"model":"nobody","prompt":"p"}`, nil, 404, CodeUnknownModel},
		{chat, long, nil, 413, CodeBodyTooLarge},
		{chat, `{}`, []string{"Content-Type", "text/plain"}, 415, CodeContentType},
		{chat, `{}`, []string{"Authorization", "Bearer other"}, 401, CodeUnauthorised},
		{chat, `{}`, []string{"Authorization", ""}, 401, CodeUnauthorised},
		{"/v1/services/counter/nothing", `{}`, nil, 404, CodeUnknownOperation},
		{"/v1/services/counter/purchase", `{}`, nil, 400, CodeKeyMissing},
	} {
		status, header, body := f.post(0, c.path, c.body, c.headers...)
		assert.Equal(t, status, c.status, body)
		assert.Equal(t, header.Get("Content-Type"), problem.ContentType)
		var p problem.Problem
		assert.NilError(t, json.Unmarshal([]byte(body), &p))
		assert.Equal(t, p.Code, c.code)
		assert.Equal(t, p.Execution, problem.ExecutionNotStarted)
	}
}

// TestCallWaitsForTheFirstEndpoint sends a call while the weights are still being
// transferred. Such calls were once shed at once, with a retry-after of a minute.
func TestCallWaitsForTheFirstEndpoint(t *testing.T) {
	f := newTestFleet(t, 2, 0, 1)
	f.awaitAgents()
	f.publish("v1")
	f.applyIntent(0, placeIntent("v1"))
	text, _ := f.complete(0, "background", "early", 8)
	assert.Equal(t, text, expectedText("early", "v1", 8))
}
