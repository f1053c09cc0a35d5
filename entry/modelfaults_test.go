package entry

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/internal/fakes"
	"github.com/snipestep/snipestep/problem"
	"github.com/snipestep/snipestep/routing"
)

const endOfStream = "[DONE]"

// stream reads a streamed response.
type stream struct {
	fleet    *testFleet
	version  string
	lines    *bufio.Scanner
	text     strings.Builder
	tokens   int
	complete bool             // The [DONE] event was read.
	failure  *problem.Problem // The error event, if any.
}

// openStream starts a streamed call. It returns the problem if the call is
// refused before the first token.
func (f *testFleet) openStream(entry int, prompt string, tokens int) (*stream, *problem.Problem) {
	f.t.Helper()
	body := fmt.Sprintf(`{"model":"letters","stream":true,"max_tokens":%d,"prompt":%q}`, tokens, prompt)
	url := "http://" + f.entries[entry].cfg.HTTPAddr + "/v1/completions"
	req, err := http.NewRequestWithContext(f.ctx, http.MethodPost, url, strings.NewReader(body))
	assert.NilError(f.t, err)
	req.Header.Set("Authorization", "Bearer "+callerToken)
	req.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(req)
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { response.Body.Close() })
	if response.StatusCode != http.StatusOK {
		return nil, problem.Read(response)
	}
	return &stream{fleet: f, version: response.Header.Get(versionHeader), lines: bufio.NewScanner(response.Body)}, nil
}

// next reads one event and reports whether another may follow.
func (s *stream) next() bool {
	failed := false
	for s.lines.Scan() {
		failed = failed || s.lines.Text() == "event: error"
		data, ok := strings.CutPrefix(s.lines.Text(), "data: ")
		switch {
		case !ok:
			continue
		case failed:
			s.failure = &problem.Problem{}
			assert.Check(s.fleet.t, json.Unmarshal([]byte(data), s.failure))
			return false
		case data == endOfStream:
			s.complete = true
			return false
		}
		var chunk chatChunk
		assert.Check(s.fleet.t, json.Unmarshal([]byte(data), &chunk))
		if text := chunk.Choices[0].Delta.Content; text != "" {
			s.tokens++
			s.text.WriteString(text)
		}
		return true
	}
	return false
}

// readAll reads to the end and checks that every token belongs to the prompt.
func (s *stream) readAll(prompt string) {
	for s.next() {
	}
	assert.Check(s.fleet.t, s.text.String() == expectedText(prompt, s.version, s.tokens), "tokens of %q", prompt)
}

// readTokens reads until n tokens have arrived.
func (s *stream) readTokens(n int) {
	s.fleet.t.Helper()
	for s.tokens < n {
		assert.Assert(s.fleet.t, s.next(), "the stream ended early")
	}
}

// engineThatBegan returns the index of the first engine that has begun a prompt.
func (f *testFleet) engineThatBegan(prompt string) int {
	f.t.Helper()
	for i, e := range f.engines {
		if e.PromptStarts(prompt) > 0 {
			return i
		}
	}
	f.t.Fatalf("%q has not begun", prompt)
	return -1
}

func (f *testFleet) begunAttempts(prompt string) int {
	n := 0
	for _, e := range f.engines {
		n += e.PromptStarts(prompt)
	}
	return n
}

// newServingFleet returns a fleet whose models all serve version v1, as seen by
// every entry.
func newServingFleet(t *testing.T, models, entries int, options ...func(*testFleet)) (*testFleet, core.ModelRef) {
	t.Helper()
	f := newTestFleet(t, models, 0, entries, options...)
	f.awaitAgents()
	v1 := f.publish("v1")
	f.applyIntent(0, placeIntent("v1"))
	f.awaitServing(v1)
	for i := range f.entries {
		f.awaitEndpoints(i, v1, models)
	}
	return f, v1
}

// awaitEndpoints blocks until an entry can send to n endpoints of a version.
func (f *testFleet) awaitEndpoints(entry int, m core.ModelRef, n int) {
	f.t.Helper()
	f.waitUntil("endpoints of "+m.Version, func() bool {
		table := f.entries[entry].routes.table.Load()
		open := 0
		for i := range table.Len() {
			if e := table.Endpoint(i); e.Model == m && !e.Draining && !e.Leaving {
				open++
			}
		}
		return open >= n
	})
}

func withSlowTokens(f *testFleet) {
	f.engineConfig = func(c *fakes.EngineConfig) { c.TokenInterval = 5 * time.Millisecond }
}

func TestBrokenStreamsResumeAtAnotherEndpoint(t *testing.T) {
	const tokens = 80
	for _, fault := range []string{"engine", "agent"} {
		t.Run(fault, func(t *testing.T) {
			f, _ := newServingFleet(t, 3, 1, withSlowTokens)
			streams := make([]*stream, 6)
			for i := range streams {
				s, refused := f.openStream(0, fmt.Sprint("p", i), tokens)
				assert.Assert(t, refused == nil, "%v", refused)
				s.readTokens(3)
				streams[i] = s
			}
			index := f.engineThatBegan("p0")
			if fault == "engine" {
				f.engines[index].Crash()
			} else {
				f.agents[index].Kill()
			}
			var readers sync.WaitGroup
			for i, s := range streams {
				readers.Go(func() { s.readAll(fmt.Sprint("p", i)) })
			}
			readers.Wait()
			for i, s := range streams {
				assert.Check(t, s.complete, "stream %d: %v", i, s.failure)
				assert.Equal(t, s.tokens, tokens)
			}
			assert.Assert(t, f.begunAttempts("p0") > 1)
		})
	}
}

func TestStreamWithoutEndpointsFailsHonestly(t *testing.T) {
	f, _ := newServingFleet(t, 2, 1, withSlowTokens, func(f *testFleet) { f.callTimeout = 2 * time.Second })
	s, refused := f.openStream(0, "p", 2000)
	assert.Assert(t, refused == nil, "%v", refused)
	s.readTokens(3)
	for _, a := range f.agents {
		a.Kill()
	}
	s.readAll("p")
	assert.Assert(t, !s.complete)
	assert.Assert(t, s.failure != nil)
	assert.Equal(t, s.failure.Execution, problem.ExecutionUnknown)
	_, refused = f.openStream(0, "later", 5)
	assert.Equal(t, refused.Execution, problem.ExecutionNotStarted)
	assert.Equal(t, f.begunAttempts("later"), 0)
}

// TestDeadlineInTheFirstAttemptIsUnknown covers a response that is not streamed,
// of which the caller sees nothing before its end.
func TestDeadlineInTheFirstAttemptIsUnknown(t *testing.T) {
	f, _ := newServingFleet(t, 1, 1, withSlowTokens, func(f *testFleet) { f.callTimeout = 300 * time.Millisecond })
	status, _, body := f.post(0, "/v1/completions", `{"model":"letters","prompt":"slow","max_tokens":5000}`)
	assert.Assert(t, status != http.StatusOK)
	var refused problem.Problem
	assert.NilError(t, json.Unmarshal([]byte(body), &refused))
	assert.Equal(t, f.begunAttempts("slow"), 1)
	assert.Equal(t, refused.Execution, problem.ExecutionUnknown)
}

// TestNotRunRefusalsUnderOverloadAreTrue checks each not-run refusal against the
// calls that engines have begun.
func TestNotRunRefusalsUnderOverloadAreTrue(t *testing.T) {
	f, _ := newServingFleet(t, 2, 2, withSlowTokens, func(f *testFleet) { f.callTimeout = time.Second })
	var callers sync.WaitGroup
	for i := range 60 {
		callers.Go(func() {
			prompt := fmt.Sprint("flood", i)
			body := fmt.Sprintf(`{"model":"letters","prompt":%q,"max_tokens":60}`, prompt)
			status, _, response := f.post(i%2, "/v1/completions", body)
			var refused problem.Problem
			if status == http.StatusOK || json.Unmarshal([]byte(response), &refused) != nil {
				return
			}
			if refused.Execution == problem.ExecutionNotStarted {
				assert.Check(t, f.begunAttempts(prompt) == 0, "%s: %s", prompt, response)
			}
		})
	}
	f.engines[0].Crash()
	callers.Wait()
}

// awaitQuarantined blocks until an entry has quarantined a request.
func (f *testFleet) awaitQuarantined(entry int, fingerprint uint64) {
	f.t.Helper()
	f.waitUntil("a request is quarantined", func() bool {
		_, refused := f.entries[entry].quarantine.quarantinedFor(fingerprint)
		return refused
	})
}

func TestCrashingRequestIsQuarantined(t *testing.T) {
	const tokens = 60
	f, v1 := newServingFleet(t, 4, 2, withSlowTokens)
	var bystanders sync.WaitGroup
	streams := make([]*stream, 8)
	for i := range streams {
		s, refused := f.openStream(i%2, fmt.Sprint("p", i), tokens)
		assert.Assert(t, refused == nil, "%v", refused)
		s.readTokens(1)
		streams[i] = s
		bystanders.Go(func() { s.readAll(fmt.Sprint("p", i)) })
	}
	const crasher = fakes.CrashMarker + " now"
	_, refused := f.openStream(0, crasher, 5)
	assert.Equal(t, refused.Code, CodeQuarantined, refused.Detail)
	assert.Equal(t, refused.Execution, problem.ExecutionUnknown)
	f.awaitQuarantined(1, routing.Fingerprint("school", "", []byte(crasher)))
	_, refused = f.openStream(1, crasher, 5)
	assert.Equal(t, refused.Code, CodeQuarantined, refused.Detail)
	bystanders.Wait()
	for i, s := range streams {
		assert.Check(t, s.complete && s.tokens == tokens, "stream %d: %v", i, s.failure)
	}
	assert.Equal(t, f.begunAttempts(crasher), 2)
	f.awaitServing(v1)
}
