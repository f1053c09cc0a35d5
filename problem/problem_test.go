package problem_test

import (
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/problem"
)

func TestWriteThenRead(t *testing.T) {
	w := httptest.NewRecorder()
	problem.Write(w, problem.Problem{Status: 429, Code: "shed", Execution: problem.ExecutionNotStarted, RetryAfterMS: 1001})
	response := w.Result()
	assert.Equal(t, response.Header.Get("Retry-After"), "2")
	got := problem.Read(response)
	assert.DeepEqual(t, *got, problem.Problem{
		Type: "about:blank", Title: "Too Many Requests", Status: 429,
		Code: "shed", Execution: "not-run", RetryAfterMS: 1001,
	})
}

func TestReadNonProblemBody(t *testing.T) {
	w := httptest.NewRecorder()
	w.WriteHeader(502)
	assert.Equal(t, problem.Read(w.Result()).Status, 502)
}
