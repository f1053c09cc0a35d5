package operator_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/internal/fakes"
	"github.com/snipestep/snipestep/operator"
)

// Guards against an answer with a broken head that a command takes for one, such as a confirmation.
func TestBrokenHeadIsNoAnswer(t *testing.T) {
	for answerName, answer := range fakes.BrokenHeads("", "null") {
		for clientName, client := range map[string]*http.Client{"default": nil, "own": {}} {
			for callName, call := range endlessCalls {
				t.Run(answerName+"/"+clientName+"/"+callName, func(t *testing.T) {
					t.Parallel()
					server, err := fakes.StartEarlyServer(fakes.EarlyOpen, func(*http.Request) string { return answer })
					assert.NilError(t, err)
					defer server.Close()
					err = call(t.Context(), operator.NewClient([]string{"http://" + server.Address()}, "t", client))
					assert.Assert(t, err != nil)
					assert.Assert(t, !isProblem(err), "got %v", err)
				})
			}
		}
	}
}
