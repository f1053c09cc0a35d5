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

// stubEntry is an entry whose responses the test chooses.
type stubEntry struct {
	mu             sync.Mutex
	runsByKey      map[string]int
	answerModel    func(w http.ResponseWriter, prompt string, tokens int)
	answerPurchase func(w http.ResponseWriter, body []byte) bool
}

func (s *stubEntry) recordRun(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runsByKey[key]++
}

func (s *stubEntry) runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runsByKey[key]
}

func (s *stubEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "purchase") {
		body, _ := io.ReadAll(r.Body)
		if s.answerPurchase(w, body) {
			s.recordRun(r.Header.Get(load.IdempotencyKeyHeader))
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
	s.answerModel(w, request.Messages[0].Content, request.MaxTokens)
}

func writeTokens(w http.ResponseWriter, prompt string, tokens int) {
	w.Header().Set(load.VersionHeader, version)
	for i := range tokens {
		fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", tokenText(prompt, version, i))
	}
}

func writeComplete(w http.ResponseWriter, prompt string, tokens int) {
	writeTokens(w, prompt, tokens)
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

func refuse(w http.ResponseWriter, execution string) {
	problem.Write(w, problem.Problem{Status: http.StatusServiceUnavailable, Execution: execution})
}

func runPurchase(w http.ResponseWriter, body []byte) bool {
	_, _ = w.Write(plainBody("purchase", body))
	return true
}

// runLoad sends a short load to the entry.
func runLoad(t *testing.T, entry *stubEntry, configure func(*scenario.Scenario)) *report.Report {
	t.Helper()
	entry.runsByKey = map[string]int{}
	server := httptest.NewServer(entry)
	defer server.Close()
	s, err := scenario.Default()
	assert.NilError(t, err)
	s.Load = scenario.Load{Duration: 100 * time.Millisecond, UrgentRPS: 200, NormalRPS: 200, BackgroundRPS: 200, PurchaseRPS: 200, LargeShare: 0.5}
	s.Engines.OutputTokens = 5
	configure(s)
	generator := load.New(load.Config{
		Scenario: s,
		Entries:  []string{strings.TrimPrefix(server.URL, "http://")},
		Oracle:   load.Oracle{TokenText: tokenText, PlainBody: plainBody, Begun: entry.runs, Runs: entry.runs},
	})
	generator.Run(t.Context())
	var measured report.Report
	generator.Fill(&measured)
	return &measured
}

func unchanged(*scenario.Scenario) {}

func TestCompleteAnswers(t *testing.T) {
	measured := runLoad(t, &stubEntry{answerModel: writeComplete, answerPurchase: runPurchase}, func(s *scenario.Scenario) { s.Faults.ResendRatio = 0.5 })
	assert.Assert(t, measured.Ranks.Urgent.Offered > 0 && measured.Purchases.Offered > 0)
	assert.Equal(t, measured.Ranks.Urgent.Answered, measured.Ranks.Urgent.Offered)
	assert.Equal(t, measured.Purchases.Answered, measured.Purchases.Offered)
	assert.Equal(t, measured.Organisations.SmallAnsweredRatio, 1.0)
	assert.Equal(t, measured.Safety, report.Safety{})
	assert.Assert(t, measured.Ranks.Urgent.TTFTP95MS > 0)
}

func TestPartialAndWrongAnswers(t *testing.T) {
	partial := func(w http.ResponseWriter, prompt string, tokens int) { writeComplete(w, prompt, tokens-1) }
	measured := runLoad(t, &stubEntry{answerModel: partial, answerPurchase: runPurchase}, unchanged)
	assert.Equal(t, measured.Ranks.Urgent.Answered, 0)
	assert.Assert(t, measured.Safety.PartialAnswers > 0)
	assert.Equal(t, measured.Safety.WrongAnswers, 0)

	wrong := func(w http.ResponseWriter, prompt string, tokens int) { writeComplete(w, prompt+"x", tokens) }
	measured = runLoad(t, &stubEntry{answerModel: wrong, answerPurchase: runPurchase}, unchanged)
	assert.Assert(t, measured.Safety.WrongAnswers > 0)
}

func TestRefusals(t *testing.T) {
	entry := &stubEntry{
		answerModel:    func(w http.ResponseWriter, _ string, _ int) { refuse(w, problem.ExecutionNotStarted) },
		answerPurchase: func(w http.ResponseWriter, _ []byte) bool { refuse(w, problem.ExecutionUnknown); return true },
	}
	measured := runLoad(t, entry, unchanged)
	assert.Equal(t, measured.Ranks.Normal.RefusedNotRun, measured.Ranks.Normal.Offered)
	assert.Equal(t, measured.Purchases.RefusedUnknown, measured.Purchases.Offered)
	assert.Equal(t, measured.Safety.FalseNotRun, 0)
}

func TestFalseNotRun(t *testing.T) {
	entry := &stubEntry{answerPurchase: func(w http.ResponseWriter, _ []byte) bool { refuse(w, problem.ExecutionNotStarted); return true }}
	entry.answerModel = func(w http.ResponseWriter, prompt string, _ int) {
		entry.recordRun(prompt)
		refuse(w, problem.ExecutionNotStarted)
	}
	measured := runLoad(t, entry, unchanged)
	all := measured.Ranks.Urgent.Offered + measured.Ranks.Normal.Offered + measured.Ranks.Background.Offered + measured.Purchases.Offered
	assert.Equal(t, measured.Safety.FalseNotRun, all)
}

func TestBrokenStreams(t *testing.T) {
	measured := runLoad(t, &stubEntry{answerModel: writeTokens, answerPurchase: runPurchase}, unchanged)
	assert.Equal(t, measured.Ranks.Normal.Failed, measured.Ranks.Normal.Offered)

	withProblem := func(w http.ResponseWriter, prompt string, tokens int) {
		writeTokens(w, prompt, tokens-2)
		_, _ = io.WriteString(w, "event: error\ndata: {\"run\":\"unknown\"}\n\n")
	}
	measured = runLoad(t, &stubEntry{answerModel: withProblem, answerPurchase: runPurchase}, unchanged)
	assert.Equal(t, measured.Ranks.Normal.RefusedUnknown, measured.Ranks.Normal.Offered)
	assert.Equal(t, measured.Safety, report.Safety{})
}

func TestCrashRequestsAreResent(t *testing.T) {
	entry := &stubEntry{answerPurchase: runPurchase}
	entry.answerModel = func(w http.ResponseWriter, prompt string, tokens int) {
		if strings.Contains(prompt, "CRASH:") {
			entry.recordRun("crash")
			refuse(w, problem.ExecutionUnknown)
			return
		}
		writeComplete(w, prompt, tokens)
	}
	measured := runLoad(t, entry, func(s *scenario.Scenario) { s.Faults.CrashRequests = 1 })
	assert.Equal(t, entry.runs("crash"), 4)
	assert.Equal(t, measured.Ranks.Normal.Answered, measured.Ranks.Normal.Offered)
}
