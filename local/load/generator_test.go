package load_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/local/load"
	"github.com/snipestep/snipestep/local/report"
	"github.com/snipestep/snipestep/local/scenario"
	"github.com/snipestep/snipestep/problem"
)

const version = "v1"

func tokenText(prompt, version string, index int) string {
	return fmt.Sprintf("%d-%s-%d ", len(prompt), version, index)
}

func plainBody(operation string, body []byte) []byte {
	return fmt.Appendf(nil, "%s %d", operation, len(body))
}

// stub is an entry whose answers a test chooses.
type stub struct {
	mu      sync.Mutex
	begun   map[string]int
	answer  func(w http.ResponseWriter, prompt string, tokens int)
	runsKey func(w http.ResponseWriter, body []byte) bool
}

func (s *stub) begin(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begun[what]++
}

func (s *stub) count(what string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.begun[what]
}

func (s *stub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "purchase") {
		body, _ := io.ReadAll(r.Body)
		if s.runsKey(w, body) {
			s.begin(r.Header.Get(load.IdempotencyKey))
		}
		return
	}
	var request struct {
		Messages  []struct{ Content string }
		MaxTokens int `json:"max_tokens"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.answer(w, request.Messages[0].Content, request.MaxTokens)
}

func writeTokens(w http.ResponseWriter, prompt string, tokens int) {
	w.Header().Set(load.VersionHeader, version)
	for i := range tokens {
		fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", tokenText(prompt, version, i))
	}
}

func writeWhole(w http.ResponseWriter, prompt string, tokens int) {
	writeTokens(w, prompt, tokens)
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

func refuse(w http.ResponseWriter, run string) {
	problem.Write(w, problem.Problem{Status: http.StatusServiceUnavailable, Execution: run})
}

func runKey(w http.ResponseWriter, body []byte) bool {
	_, _ = w.Write(plainBody("purchase", body))
	return true
}

// run sends a short load to the stub.
func run(t *testing.T, s *stub, change func(*scenario.Scenario)) *report.Report {
	t.Helper()
	s.begun = map[string]int{}
	server := httptest.NewServer(s)
	defer server.Close()
	plan, err := scenario.Default()
	assert.NilError(t, err)
	plan.Load = scenario.Load{Duration: 100 * time.Millisecond, UrgentRPS: 200, NormalRPS: 200, BackgroundRPS: 200, PurchaseRPS: 200, LargeShare: 0.5}
	plan.Engines.OutputTokens = 5
	change(plan)
	generator := load.New(load.Config{
		Scenario: plan,
		Entries:  []string{strings.TrimPrefix(server.URL, "http://")},
		Oracle:   load.Oracle{TokenText: tokenText, PlainBody: plainBody, Begun: s.count, Runs: s.count},
	})
	generator.Run(t.Context())
	var got report.Report
	generator.Fill(&got)
	return &got
}

func same(*scenario.Scenario) {}

func TestWholeAnswers(t *testing.T) {
	got := run(t, &stub{answer: writeWhole, runsKey: runKey}, func(s *scenario.Scenario) { s.Faults.ResendRatio = 0.5 })
	assert.Assert(t, got.Ranks.Urgent.Offered > 0 && got.Purchases.Offered > 0)
	assert.Equal(t, got.Ranks.Urgent.Answered, got.Ranks.Urgent.Offered)
	assert.Equal(t, got.Purchases.Answered, got.Purchases.Offered)
	assert.Equal(t, got.Organisations.SmallAnsweredRatio, 1.0)
	assert.Equal(t, got.Safety, report.Safety{})
	assert.Assert(t, got.Ranks.Urgent.TTFTP95MS > 0)
}

func TestPartialAndWrongAnswers(t *testing.T) {
	partial := func(w http.ResponseWriter, prompt string, tokens int) { writeWhole(w, prompt, tokens-1) }
	got := run(t, &stub{answer: partial, runsKey: runKey}, same)
	assert.Equal(t, got.Ranks.Urgent.Answered, 0)
	assert.Assert(t, got.Safety.PartialAnswers > 0)
	assert.Equal(t, got.Safety.WrongAnswers, 0)

	wrong := func(w http.ResponseWriter, prompt string, tokens int) { writeWhole(w, prompt+"x", tokens) }
	got = run(t, &stub{answer: wrong, runsKey: runKey}, same)
	assert.Assert(t, got.Safety.WrongAnswers > 0)
}

func TestRefusals(t *testing.T) {
	s := &stub{
		answer:  func(w http.ResponseWriter, _ string, _ int) { refuse(w, problem.ExecutionNotStarted) },
		runsKey: func(w http.ResponseWriter, _ []byte) bool { refuse(w, problem.ExecutionUnknown); return true },
	}
	got := run(t, s, same)
	assert.Equal(t, got.Ranks.Normal.RefusedNotRun, got.Ranks.Normal.Offered)
	assert.Equal(t, got.Purchases.RefusedUnknown, got.Purchases.Offered)
	assert.Equal(t, got.Safety.FalseNotRun, 0)
}

func TestFalseNotRun(t *testing.T) {
	s := &stub{runsKey: func(w http.ResponseWriter, _ []byte) bool { refuse(w, problem.ExecutionNotStarted); return true }}
	s.answer = func(w http.ResponseWriter, prompt string, _ int) {
		s.begin(prompt)
		refuse(w, problem.ExecutionNotStarted)
	}
	got := run(t, s, same)
	all := got.Ranks.Urgent.Offered + got.Ranks.Normal.Offered + got.Ranks.Background.Offered + got.Purchases.Offered
	assert.Equal(t, got.Safety.FalseNotRun, all)
}

func TestBrokenStreams(t *testing.T) {
	got := run(t, &stub{answer: writeTokens, runsKey: runKey}, same)
	assert.Equal(t, got.Ranks.Normal.Failed, got.Ranks.Normal.Offered)

	withProblem := func(w http.ResponseWriter, prompt string, tokens int) {
		writeTokens(w, prompt, tokens-2)
		_, _ = io.WriteString(w, "event: error\ndata: {\"run\":\"unknown\"}\n\n")
	}
	got = run(t, &stub{answer: withProblem, runsKey: runKey}, same)
	assert.Equal(t, got.Ranks.Normal.RefusedUnknown, got.Ranks.Normal.Offered)
	assert.Equal(t, got.Safety, report.Safety{})
}

func TestCrashRequestsAreResent(t *testing.T) {
	s := &stub{runsKey: runKey}
	s.answer = func(w http.ResponseWriter, prompt string, tokens int) {
		if strings.Contains(prompt, "CRASH:") {
			s.begin("crash")
			refuse(w, problem.ExecutionUnknown)
			return
		}
		writeWhole(w, prompt, tokens)
	}
	got := run(t, s, func(plan *scenario.Scenario) { plan.Faults.CrashRequests = 1 })
	assert.Equal(t, s.count("crash"), 4)
	assert.Equal(t, got.Ranks.Normal.Answered, got.Ranks.Normal.Offered)
}
