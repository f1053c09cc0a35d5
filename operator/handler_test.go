package operator_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/configuration"
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
	"github.com/snipestep/snipestep/intent"
	"github.com/snipestep/snipestep/operator"
	"github.com/snipestep/snipestep/problem"
)

// stubService returns err from every method. Without an error, Watch sends three
// statuses.
type stubService struct{ err error }

func (s stubService) Propose(context.Context, intent.Intent) (*intent.Plan, error) {
	return nil, s.err
}
func (s stubService) Plan(context.Context, string) (*intent.Plan, error) { return nil, s.err }
func (s stubService) Confirm(context.Context, string) (core.Generation, error) {
	return 0, s.err
}

func (s stubService) Status(context.Context) (operator.Status, error) {
	return operator.Status{}, s.err
}

func (s stubService) Watch(_ context.Context, send func(operator.Status) error) error {
	if s.err != nil {
		return s.err
	}
	for generation := range core.Generation(3) {
		if err := send(operator.Status{Generation: generation}); err != nil {
			return err
		}
	}
	return nil
}

func serveRequest(err error, method, path, body string, header ...string) *problem.Problem {
	handler := operator.NewHandler(stubService{err}, []core.Digest{fleet.TokenDigest("t")})
	r := httptest.NewRequestWithContext(context.Background(), method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer t")
	r.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, r)
	return problem.Read(w.Result())
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	place := `{"place":{"model":{"model":"m","version":"v"}}}`
	for _, c := range []struct {
		method, path, body string
		header             []string
		status             int
		code               string
	}{
		{"POST", "/v1/intents", place, []string{"Authorization", ""}, 401, operator.CodeUnauthorised},
		{"POST", "/v1/intents", place, []string{"Authorization", "Bearer x"}, 401, operator.CodeUnauthorised},
		{"POST", "/v1/intents", place, []string{"Content-Type", "text/plain"}, 415, operator.CodeMediaType},
		{"POST", "/v1/intents", place + place, nil, 400, operator.CodeMalformed},
		{"POST", "/v1/intents", place[:9], nil, 400, operator.CodeMalformed},
		{"POST", "/v1/intents", `{"place":{"replicas":"many"}}`, nil, 400, operator.CodeMalformed},
		{"POST", "/v1/intents", `{"kill":{}}`, nil, 400, operator.CodeMalformed},
		{"POST", "/v1/intents", `{"place":"` + strings.Repeat("x", 1<<20) + `"}`, nil, 413, operator.CodeTooLarge},
		{"POST", "/v1/intents", `{}`, nil, 422, operator.CodeInvalid},
		{"POST", "/v1/intents", `{"stop":{"selector":{"count":-1}}}`, nil, 422, operator.CodeInvalid},
		{"GET", "/v1/intents", "", nil, 405, operator.CodeMethodNotAllowed},
		{"GET", "/v1/plans/a%2Fb", "", nil, 404, operator.CodePlanUnknown},
		{"POST", "/v1/plans/" + strings.Repeat("x", 65) + "/confirm", "", nil, 404, operator.CodePlanUnknown},
		{"GET", "/v2", "", nil, 404, operator.CodeNotFound},
	} {
		got := serveRequest(nil, c.method, c.path, c.body, c.header...)
		assert.Equal(t, got.Status, c.status, "%s %s %.80s", c.method, c.path, c.body)
		assert.Equal(t, got.Code, c.code, "%s %s %.80s", c.method, c.path, c.body)
	}
}

func TestServiceErrorsBecomeProblems(t *testing.T) {
	for _, c := range []struct {
		err    error
		status int
		code   string
	}{
		{&intent.StalePlanError{CurrentGeneration: 7, WinningPlan: "w"}, 409, operator.CodePlanStale},
		{&configuration.GenerationConflictError{CurrentGeneration: 7, WinningPlan: "w"}, 409, operator.CodeConflict},
		{&intent.CapacityError{}, 409, operator.CodeCapacity},
		{&configuration.CommitUnknownError{Cause: context.DeadlineExceeded}, 503, operator.CodeCommitUnknown},
		{&backing.UnavailableError{}, 503, operator.CodeStoreUnavailable},
		{context.DeadlineExceeded, 504, operator.CodeTimeout},
		{operator.ErrPlanNotFound, 404, operator.CodePlanUnknown},
		{http.ErrAbortHandler, 500, operator.CodeInternal},
	} {
		got := serveRequest(c.err, "POST", "/v1/plans/p/confirm", "")
		assert.Equal(t, got.Status, c.status, "%v", c.err)
		assert.Equal(t, got.Code, c.code, "%v", c.err)
		if c.status == 409 && c.code != operator.CodeCapacity {
			assert.Equal(t, got.Plan, "w")
			assert.Equal(t, got.Generation, uint64(7))
		}
	}
}

func TestWatchThroughClient(t *testing.T) {
	server := httptest.NewServer(operator.NewHandler(stubService{}, []core.Digest{fleet.TokenDigest("t")}))
	defer server.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	client := operator.NewClient([]string{"http://127.0.0.1:1", server.URL + "/"}, "t", nil)
	var generations []core.Generation
	err := client.Watch(ctx, func(s operator.Status) error {
		generations = append(generations, s.Generation)
		return nil
	})
	assert.ErrorIs(t, err, operator.ErrStreamEnded)
	assert.DeepEqual(t, generations, []core.Generation{0, 1, 2})
}
