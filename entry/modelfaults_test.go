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

const doneMark = "[DONE]"

// stream is a streamed answer while it is read.
type stream struct {
	f       *testFleet
	version string
	lines   *bufio.Scanner
	text    strings.Builder
	tokens  int
	whole   bool             // The end mark was read.
	failure *problem.Problem // The error event, if any.
}

// open starts a streamed call; a refusal before the first token is returned.
func (f *testFleet) open(entry int, prompt string, tokens int) (*stream, *problem.Problem) {
	f.t.Helper()
	body := fmt.Sprintf(`{"model":"letters","stream":true,"max_tokens":%d,"prompt":%q}`, tokens, prompt)
	url := "http://" + f.entries[entry].cfg.HTTPAddr + "/v1/completions"
	req, err := http.NewRequestWithContext(f.ctx, http.MethodPost, url, strings.NewReader(body))
	assert.NilError(f.t, err)
	req.Header.Set("Authorization", "Bearer "+callerToken)
	req.Header.Set("Content-Type", "application/json")
	answer, err := http.DefaultClient.Do(req)
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { answer.Body.Close() })
	if answer.StatusCode != http.StatusOK {
		return nil, problem.Read(answer)
	}
	return &stream{f: f, version: answer.Header.Get(versionHeader), lines: bufio.NewScanner(answer.Body)}, nil
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
			assert.Check(s.f.t, json.Unmarshal([]byte(data), s.failure))
			return false
		case data == doneMark:
			s.whole = true
			return false
		}
		var chunk chatChunk
		assert.Check(s.f.t, json.Unmarshal([]byte(data), &chunk))
		if text := chunk.Choices[0].Delta.Content; text != "" {
			s.tokens++
			s.text.WriteString(text)
		}
		return true
	}
	return false
}

// readAll reads to the end and checks that every token is the prompt's own.
func (s *stream) readAll(prompt string) {
	for s.next() {
	}
	assert.Check(s.f.t, s.text.String() == wholeAnswer(prompt, s.version, s.tokens), "tokens of %q", prompt)
}

// readTokens reads until n tokens have come.
func (s *stream) readTokens(n int) {
	s.f.t.Helper()
	for s.tokens < n {
		assert.Assert(s.f.t, s.next(), "the stream ended early")
	}
}

// runningAt returns the model endpoint that a prompt began at first.
func (f *testFleet) runningAt(prompt string) int {
	f.t.Helper()
	for i, e := range f.engines {
		if e.Starts(prompt) > 0 {
			return i
		}
	}
	f.t.Fatalf("%q has not begun", prompt)
	return -1
}

func (f *testFleet) begun(prompt string) int {
	n := 0
	for _, e := range f.engines {
		n += e.Starts(prompt)
	}
	return n
}

// serving returns a fleet of models that serve a version, known to all
// entries.
func serving(t *testing.T, models, entries int, options ...func(*testFleet)) (*testFleet, core.ModelRef) {
	t.Helper()
	f := newTestFleet(t, models, 0, entries, options...)
	f.awaitAgents()
	v1 := f.publish("v1")
	f.carryOut(0, place("v1"))
	f.awaitServing(v1)
	for i := range f.entries {
		f.awaitEndpoints(i, v1, models)
	}
	return f, v1
}

// awaitEndpoints blocks until an entry may send to n endpoints of a version.
func (f *testFleet) awaitEndpoints(entry int, m core.ModelRef, n int) {
	f.t.Helper()
	f.until("endpoints of "+m.Version, func() bool {
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

func slowTokens(f *testFleet) {
	f.engineConfig = func(c *fakes.EngineConfig) { c.TokenInterval = 5 * time.Millisecond }
}

func TestBrokenStreamsGoOnElsewhere(t *testing.T) {
	const tokens = 80
	for _, fault := range []string{"engine", "agent"} {
		t.Run(fault, func(t *testing.T) {
			f, _ := serving(t, 3, 1, slowTokens)
			streams := make([]*stream, 6)
			for i := range streams {
				s, refused := f.open(0, fmt.Sprint("p", i), tokens)
				assert.Assert(t, refused == nil, "%v", refused)
				s.readTokens(3)
				streams[i] = s
			}
			at := f.runningAt("p0")
			if fault == "engine" {
				f.engines[at].Crash()
			} else {
				f.agents[at].Kill()
			}
			var readers sync.WaitGroup
			for i, s := range streams {
				readers.Go(func() { s.readAll(fmt.Sprint("p", i)) })
			}
			readers.Wait()
			for i, s := range streams {
				assert.Check(t, s.whole, "stream %d: %v", i, s.failure)
				assert.Equal(t, s.tokens, tokens)
			}
			assert.Assert(t, f.begun("p0") > 1)
		})
	}
}

func TestStreamWithoutEndpointsFailsHonestly(t *testing.T) {
	f, _ := serving(t, 2, 1, slowTokens, func(f *testFleet) { f.callTimeout = 2 * time.Second })
	s, refused := f.open(0, "p", 2000)
	assert.Assert(t, refused == nil, "%v", refused)
	s.readTokens(3)
	for _, a := range f.agents {
		a.Kill()
	}
	s.readAll("p")
	assert.Assert(t, !s.whole)
	assert.Assert(t, s.failure != nil)
	assert.Equal(t, s.failure.Execution, problem.ExecutionUnknown)
	_, refused = f.open(0, "later", 5)
	assert.Equal(t, refused.Execution, problem.ExecutionNotStarted)
	assert.Equal(t, f.begun("later"), 0)
}

// TestDeadlineInTheFirstAttemptIsUnknown covers a whole answer, which the
// caller sees nothing of before its end.
func TestDeadlineInTheFirstAttemptIsUnknown(t *testing.T) {
	f, _ := serving(t, 1, 1, slowTokens, func(f *testFleet) { f.callTimeout = 300 * time.Millisecond })
	status, _, body := f.post(0, "/v1/completions", `{"model":"letters","prompt":"slow","max_tokens":5000}`)
	assert.Assert(t, status != http.StatusOK)
	var refused problem.Problem
	assert.NilError(t, json.Unmarshal([]byte(body), &refused))
	assert.Equal(t, f.begun("slow"), 1)
	assert.Equal(t, refused.Execution, problem.ExecutionUnknown)
}

// TestRefusalsOfAFloodAreTrue checks every not-run against the engines.
func TestRefusalsOfAFloodAreTrue(t *testing.T) {
	f, _ := serving(t, 2, 2, slowTokens, func(f *testFleet) { f.callTimeout = time.Second })
	var callers sync.WaitGroup
	for i := range 60 {
		callers.Go(func() {
			prompt := fmt.Sprint("flood", i)
			body := fmt.Sprintf(`{"model":"letters","prompt":%q,"max_tokens":60}`, prompt)
			status, _, answer := f.post(i%2, "/v1/completions", body)
			var refused problem.Problem
			if status == http.StatusOK || json.Unmarshal([]byte(answer), &refused) != nil {
				return
			}
			if refused.Execution == problem.ExecutionNotStarted {
				assert.Check(t, f.begun(prompt) == 0, "%s: %s", prompt, answer)
			}
		})
	}
	f.engines[0].Crash()
	callers.Wait()
}

// awaitQuarantined blocks until an entry has heard of two crashes.
func (f *testFleet) awaitQuarantined(entry int, fingerprint uint64) {
	f.t.Helper()
	f.until("a request is quarantined", func() bool {
		_, refused := f.entries[entry].quarantine.refused(fingerprint)
		return refused
	})
}

func TestCrashingRequestIsQuarantined(t *testing.T) {
	const tokens = 60
	f, v1 := serving(t, 4, 2, slowTokens)
	var bystanders sync.WaitGroup
	streams := make([]*stream, 8)
	for i := range streams {
		s, refused := f.open(i%2, fmt.Sprint("p", i), tokens)
		assert.Assert(t, refused == nil, "%v", refused)
		s.readTokens(1)
		streams[i] = s
		bystanders.Go(func() { s.readAll(fmt.Sprint("p", i)) })
	}
	const crasher = fakes.CrashMarker + " now"
	_, refused := f.open(0, crasher, 5)
	assert.Equal(t, refused.Code, CodeQuarantined, refused.Detail)
	assert.Equal(t, refused.Execution, problem.ExecutionUnknown)
	f.awaitQuarantined(1, routing.Fingerprint("school", "", []byte(crasher)))
	_, refused = f.open(1, crasher, 5)
	assert.Equal(t, refused.Code, CodeQuarantined, refused.Detail)
	bystanders.Wait()
	for i, s := range streams {
		assert.Check(t, s.whole && s.tokens == tokens, "stream %d: %v", i, s.failure)
	}
	assert.Equal(t, f.begun(crasher), 2)
	f.awaitServing(v1)
}
