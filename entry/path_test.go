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

// ask runs one whole model call and returns the answer's text and version.
func (f *testFleet) ask(entry int, kind, prompt string, tokens int) (text, version string) {
	f.t.Helper()
	body := fmt.Sprintf(`{"model":"letters","max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, tokens, prompt)
	status, header, answer := f.post(entry, "/v1/chat/completions", body, kindHeader, kind)
	assert.Equal(f.t, status, http.StatusOK, answer)
	var chunk chatChunk
	assert.NilError(f.t, json.Unmarshal([]byte(answer), &chunk))
	return chunk.Choices[0].Message.Content, header.Get(versionHeader)
}

func TestWholePath(t *testing.T) {
	f := newTestFleet(t, 4, 2, 2)
	f.awaitAgents()
	v1 := f.publish("v1")
	f.carryOut(0, place("v1"))
	f.awaitServing(v1)
	for _, kind := range []string{"urgent", "", "background"} {
		f.until("answers of rank "+kind, func() bool {
			return f.entries[1].routes.table.Load().Serves("", v1)
		})
		text, version := f.ask(1, kind, "hello "+kind, 12)
		assert.Equal(t, version, "v1")
		assert.Equal(t, text, wholeAnswer("hello "+kind, "v1", 12))
	}
	assert.Assert(t, f.origin.Bytes()[v1.Manifest] <= 2*uint64(len("v1-weights-")*20000), "bytes of the origin")

	buy := `{"stamps":3}`
	status, _, first := f.post(0, "/v1/services/counter/purchase", buy, "Idempotency-Key", "k1")
	assert.Equal(t, status, http.StatusOK, first)
	assert.Equal(t, first, string(fakes.PlainResponseBody("purchase", []byte(buy))))
	f.until("the outcome is recorded", func() bool {
		status, _, again := f.post(1, "/v1/services/counter/purchase", buy, "Idempotency-Key", "k1")
		return status == http.StatusOK && again == first
	})
	assert.Equal(t, f.ledger.Runs("purchase", "k1", []byte(buy)), 1)
	assert.Equal(t, f.ledger.DoubleRuns("purchase"), 0)
}

func TestVersionChangeUnderLoadMixesNothing(t *testing.T) {
	f := newTestFleet(t, 4, 0, 2)
	f.awaitAgents()
	v1 := f.publish("v1")
	f.carryOut(0, place("v1"))
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
				text, version := f.ask(c%2, "urgent", prompt, 15)
				if text != wholeAnswer(prompt, version, 15) {
					t.Errorf("answer to %q is not whole: %q", prompt, text)
				}
			}
		})
	}
	f.carryOut(1, place("v2"))
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
		answer, err := http.Get("http://" + f.entries[0].cfg.HTTPAddr + path)
		assert.NilError(t, err)
		assert.NilError(t, answer.Body.Close())
		assert.Equal(t, answer.StatusCode, http.StatusMethodNotAllowed)
		assert.Equal(t, answer.Header.Get("Content-Type"), problem.ContentType)
	}
	f.until("configuration", func() bool { return f.entries[0].Generation() > 0 })
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
		{chat, long, nil, 413, CodeTooLarge},
		{chat, `{}`, []string{"Content-Type", "text/plain"}, 415, CodeContentType},
		{chat, `{}`, []string{"Authorization", "Bearer other"}, 401, CodeUnauthorised},
		{chat, `{}`, []string{"Authorization", ""}, 401, CodeUnauthorised},
		{"/v1/services/counter/nothing", `{}`, nil, 404, CodeUnknownService},
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

// TestCallWaitsForTheFirstEndpoint sends a call while the weights still move;
// it was shed at once, with a time to come back of a minute.
func TestCallWaitsForTheFirstEndpoint(t *testing.T) {
	f := newTestFleet(t, 2, 0, 1)
	f.awaitAgents()
	f.publish("v1")
	f.carryOut(0, place("v1"))
	text, _ := f.ask(0, "background", "early", 8)
	assert.Equal(t, text, wholeAnswer("early", "v1", 8))
}
