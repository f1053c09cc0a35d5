package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/claim"
	"github.com/snipestep/snipestep/endpoint"
)

const (
	// smallAnswerBytes bounds the answers of an entry in a test: less than lostAnswerBytes.
	smallAnswerBytes = 1 << 20
	lostAnswerBytes  = 2 << 20
	lostPrompt       = "lost"
	lostTokens       = 20
)

// lostTokenEngine answers lostPrompt with tokens of lostAnswerBytes together.
type lostTokenEngine struct {
	endpoint.Engine
}

// Generate implements endpoint.Engine.
func (e *lostTokenEngine) Generate(ctx context.Context, request endpoint.GenerateRequest) (endpoint.TokenStream, error) {
	if request.Prompt != lostPrompt {
		return e.Engine.Generate(ctx, request)
	}
	return &lostTokenStream{request: request, index: len(request.PrefixTokens)}, nil
}

type lostTokenStream struct {
	request endpoint.GenerateRequest
	index   int
}

// Next implements endpoint.TokenStream.
func (s *lostTokenStream) Next() (endpoint.Token, error) {
	token := endpoint.Token{Attempt: s.request.Attempt, Index: s.index, Version: s.request.Model.Version}
	s.index++
	switch {
	case token.Index > lostTokens:
		return endpoint.Token{}, io.EOF
	case token.Index == lostTokens:
		token.Done = true
	default:
		token.Text = strings.Repeat("x", lostAnswerBytes/lostTokens)
	}
	return token, nil
}

// Close implements endpoint.TokenStream.
func (s *lostTokenStream) Close() error {
	return nil
}

// Guards against a response that found no room at the entry and counts as not run, as complete, or
// against its request.
func TestStreamWithoutRoomEndsAsUnknown(t *testing.T) {
	f := newTestFleet(t, 1, 0, 1, func(f *testFleet) {
		f.answerBytes = smallAnswerBytes
		f.wrapEngine = func(engine endpoint.Engine) endpoint.Engine { return &lostTokenEngine{engine} }
	})
	f.awaitAgents()
	v1 := f.publish("v1")
	f.applyIntent(0, placeIntent("v1"))
	f.awaitServing(v1)
	f.waitUntil("endpoints of v1", func() bool { return f.entries[0].routes.table.Load().Serves("", v1) })
	for _, streamed := range []bool{false, true, false} {
		body := fmt.Sprintf(`{"model":"letters","stream":%t,"max_tokens":%d,"prompt":%q}`, streamed, lostTokens, lostPrompt)
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+f.entries[0].cfg.HTTPAddr+"/v1/completions", strings.NewReader(body))
		assert.NilError(t, err)
		request.Header.Set("Authorization", "Bearer "+callerToken)
		request.Header.Set("Content-Type", "application/json")
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		answer, err := io.ReadAll(response.Body)
		response.Body.Close()
		if streamed {
			assert.Assert(t, err != nil, "the framing says that the stream is complete")
		} else {
			assertUnknownOutcome(t, response.StatusCode, string(answer))
		}
		f.waitUntil("the answer is released", func() bool { return f.entries[0].calls.answers.Total() == 0 })
	}
	text, _ := f.complete(0, "", "ordinary", 5)
	assert.Equal(t, text, expectedText("ordinary", "v1", 5))
	assert.Equal(t, f.entries[0].quarantine.count(), 0)
}

// largePurchaseService answers each call with a body of the size.
type largePurchaseService struct {
	endpoint.PlainService
	size int
}

// Call implements endpoint.PlainService.
func (s *largePurchaseService) Call(ctx context.Context, request endpoint.PlainRequest) (endpoint.PlainResponse, error) {
	if request.Operation != "purchase" {
		return s.PlainService.Call(ctx, request)
	}
	return endpoint.PlainResponse{Attempt: request.Attempt, Status: http.StatusOK, Body: bytes.Repeat([]byte("x"), s.size)}, nil
}

// Guards against a plain answer that found no room at the entry and counts as not run or against its
// request.
func TestPlainAnswerWithoutRoomEndsAsUnknown(t *testing.T) {
	f := newPurchaseFleet(t, lostAnswerBytes, smallAnswerBytes)
	for range 3 {
		status, _, body := f.post(0, "/v1/services/counter/purchase", `{}`, "Idempotency-Key", "k")
		if status != http.StatusConflict {
			assertUnknownOutcome(t, status, body)
		}
		status, _, body = f.post(0, "/v1/services/counter/balance", `{}`)
		assert.Equal(t, status, http.StatusOK, body)
	}
	assert.Equal(t, f.entries[0].quarantine.count(), 0)
	f.waitUntil("the answers are released", func() bool { return f.entries[0].calls.answers.Total() == 0 })
}

// Guards against a long answer that is reported only in part and then counts as whole.
func TestAnswerTooLongToRecordIsNeverRepeatedInPart(t *testing.T) {
	const size = claim.MaxBodySize + 2
	f := newPurchaseFleet(t, size, 0)
	status, _, body := f.post(0, "/v1/services/counter/purchase", `{}`, "Idempotency-Key", "k")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, len(body), size)
	for range 3 {
		status, _, body = f.post(0, "/v1/services/counter/purchase", `{}`, "Idempotency-Key", "k")
		assert.Equal(t, status, http.StatusConflict, "a body of %d bytes", len(body))
	}
}

// newPurchaseFleet returns an entry and two endpoints whose answers to purchases have the size.
func newPurchaseFleet(t *testing.T, size, answerBytes int) *testFleet {
	t.Helper()
	f := newTestFleet(t, 0, 2, 1, func(f *testFleet) {
		f.answerBytes = answerBytes
		f.wrapPlain = func(service endpoint.PlainService) endpoint.PlainService {
			return &largePurchaseService{service, size}
		}
	})
	f.awaitAgents()
	f.waitUntil("endpoints of the service", func() bool {
		status, _, _ := f.post(0, "/v1/services/counter/balance", `{}`)
		return status == http.StatusOK
	})
	return f
}
