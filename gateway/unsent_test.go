package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an attempt that sent nothing and that counts as one that may have run, so that
// its request is answered with an unknown outcome.
func TestAttemptWithdrawnBeforeItsConnectionCannotHaveRun(t *testing.T) {
	f := newFixture(t, respondWith("x"))
	req := &request{
		service: (*f.gateway.services.Load())["s"], route: f.directory.View().Document.Match("h.example", "/once/"),
		arrivedAt: time.Now(), logger: slog.New(slog.DiscardHandler),
	}
	grant, err := req.service.gate.Acquire(t.Context(), req.admissionRequest(time.Now(), false))
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	attempt, mayHaveRun, err := f.gateway.send(ctx, httptest.NewRequestWithContext(ctx, http.MethodPost, "/once/", http.NoBody), req, grant, "")
	assert.ErrorIs(t, err, context.Canceled)
	assert.Assert(t, !mayHaveRun)
	assert.Equal(t, req.endpointsReached, 0)
	attempt.end(attemptOutcome(ctx, err))
}
