package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/endpoint"
	"github.com/snipestep/snipestep/internal/fakes"
	"github.com/snipestep/snipestep/problem"
)

// firstCalls says whether a call is the first one of its text.
type firstCalls struct {
	mu   sync.Mutex
	seen map[string]bool
}

func (c *firstCalls) isFirst(text string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := !c.seen[text]
	c.seen[text] = true
	return first
}

// endlessEngine is an engine whose first attempt for some prompts is answered by
// another server.
type endlessEngine struct {
	endpoint.Engine
	first  *firstCalls
	others map[string]endpoint.Engine // By prompt.
}

func (e *endlessEngine) Generate(ctx context.Context, request endpoint.GenerateRequest) (endpoint.TokenStream, error) {
	if other := e.others[request.Prompt]; other != nil && e.first.isFirst(request.Prompt) {
		return other.Generate(ctx, request)
	}
	return e.Engine.Generate(ctx, request)
}

// endlessPlainService is endlessEngine for a plain service, by body.
type endlessPlainService struct {
	endpoint.PlainService
	first *firstCalls
	other endpoint.PlainService
	body  []byte
}

func (s *endlessPlainService) Call(ctx context.Context, request endpoint.PlainRequest) (endpoint.PlainResponse, error) {
	if bytes.Equal(request.Body, s.body) && s.first.isFirst(string(request.Body)) {
		return s.other.Call(ctx, request)
	}
	return s.PlainService.Call(ctx, request)
}

func startEndless(t *testing.T, answer fakes.EndlessAnswer) (*fakes.EndlessServer, endpoint.HTTPConfig) {
	t.Helper()
	server, err := fakes.StartEndlessServer(answer)
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	return server, endpoint.HTTPConfig{BaseURL: "http://" + server.Address(), Timeout: testDeadline}
}

// endlessStream begins an answer with tokens, as the engine would, and goes on with
// piece, or with more tokens if piece is empty.
func endlessStream(prompt string, tokens int, piece string) fakes.EndlessAnswer {
	var attempt atomic.Value
	event := func(index int) string {
		text, _ := json.Marshal(fakes.TokenText(prompt, "v1", index)) // A string is always encoded.
		return fmt.Sprintf(`data: {"id":%q,"version":"v1","token_index":%d,"choices":[{"text":%s,"finish_reason":null}]}`+"\n\n", attempt.Load(), index, text)
	}
	return fakes.EndlessAnswer{
		Opening: func(r *http.Request) string {
			attempt.Store(r.Header.Get(endpoint.AttemptHeader))
			return "HTTP/1.1 200 OK\r\n\r\n"
		},
		Piece: func(i int) string {
			if i < tokens || piece == "" {
				return event(i)
			}
			return piece
		},
	}
}

// Guards against an engine's answer without end that becomes a part of a caller's
// response, holds it, or harms the calls beside it.
func TestResponseIsWholeDespiteEndlessAnswer(t *testing.T) {
	const tokens = 12
	answers := fakes.EndlessHeads()
	answers["line"] = endlessStream("line", 3, `data: {"id":"`)
	answers["comments"] = endlessStream("comments", 3, ": x\n")
	answers["other events"] = endlessStream("other events", 3, `data: {"id":"other","choices":[]}`+"\n\n")
	answers["tokens"] = endlessStream("tokens", 0, "")
	servers := make(map[string]*fakes.EndlessServer)
	engines := make(map[string]endpoint.Engine)
	for prompt, answer := range answers {
		server, config := startEndless(t, answer)
		servers[prompt], engines[prompt] = server, endpoint.NewHTTPEngine(config)
	}
	first := &firstCalls{seen: make(map[string]bool)}
	f := newTestFleet(t, 2, 0, 1, func(f *testFleet) {
		f.wrapEngine = func(engine endpoint.Engine) endpoint.Engine { return &endlessEngine{engine, first, engines} }
	})
	f.awaitAgents()
	v1 := f.publish("v1")
	f.applyIntent(0, placeIntent("v1"))
	f.awaitServing(v1)
	f.waitUntil("endpoints of v1", func() bool { return f.entries[0].routes.table.Load().Serves("", v1) })
	for prompt, server := range servers {
		text, version := f.complete(0, "", prompt, tokens)
		assert.Equal(t, text, expectedText(prompt, "v1", tokens), prompt)
		assert.Equal(t, version, "v1", prompt)
		ended := <-server.Ended()
		assert.Assert(t, ended.PeerClosed, prompt)
		assert.Equal(t, ended.Requests, 1, prompt)
		text, _ = f.complete(0, "", "beside "+prompt, tokens)
		assert.Equal(t, text, expectedText("beside "+prompt, "v1", tokens))
	}
}

// Guards against a slow answer without end that outlasts the deadline of its call.
func TestSlowEndlessAnswerEndsAtDeadline(t *testing.T) {
	const prompt = "slow"
	answer := endlessStream(prompt, 0, ": x\n")
	answer.Piece, answer.Pause = fakes.Repeat(": x\n"), time.Millisecond
	server, config := startEndless(t, answer)
	first := &firstCalls{seen: make(map[string]bool)}
	engines := map[string]endpoint.Engine{prompt: endpoint.NewHTTPEngine(config)}
	f := newTestFleet(t, 1, 0, 1, func(f *testFleet) {
		f.callTimeout = time.Second
		f.wrapEngine = func(engine endpoint.Engine) endpoint.Engine { return &endlessEngine{engine, first, engines} }
	})
	f.awaitAgents()
	v1 := f.publish("v1")
	f.applyIntent(0, placeIntent("v1"))
	f.awaitServing(v1)
	f.waitUntil("endpoints of v1", func() bool { return f.entries[0].routes.table.Load().Serves("", v1) })
	status, _, body := f.post(0, "/v1/chat/completions", `{"model":"letters","max_tokens":3,"messages":[{"role":"user","content":"slow"}]}`)
	assertUnknownOutcome(t, status, body)
	assert.Assert(t, (<-server.Ended()).PeerClosed)
}

func assertUnknownOutcome(t *testing.T, status int, body string) {
	t.Helper()
	var refusal problem.Problem
	assert.NilError(t, json.Unmarshal([]byte(body), &refusal), body)
	assert.Assert(t, status >= http.StatusInternalServerError, body)
	assert.Equal(t, refusal.Execution, problem.ExecutionUnknown, body)
}

// Guards against a plain service's answer without end that counts as the
// operation's, as a refusal, or makes a purchase run again.
func TestEndlessAnswerOfOperation(t *testing.T) {
	echo := func(r *http.Request) string {
		return "HTTP/1.1 200 OK\r\n" + endpoint.AttemptHeader + ": " + r.Header.Get(endpoint.AttemptHeader) + "\r\n\r\n"
	}
	for name, answer := range map[string]fakes.EndlessAnswer{
		"head": fakes.EndlessHeads()["headers"],
		"body": {Opening: echo, Piece: fakes.Repeat("x")},
	} {
		t.Run(name, func(t *testing.T) {
			const operation = `{"stamps":3}`
			server, config := startEndless(t, answer)
			other := endpoint.NewHTTPPlainService(config)
			balanceFirst := &firstCalls{seen: make(map[string]bool)}
			f := newTestFleet(t, 0, 2, 1, func(f *testFleet) {
				f.wrapPlain = func(service endpoint.PlainService) endpoint.PlainService {
					return &endlessPlainService{service, balanceFirst, other, []byte(operation)}
				}
			})
			f.awaitAgents()
			f.waitUntil("endpoints of the service", func() bool {
				status, _, _ := f.post(0, "/v1/services/counter/balance", `{}`)
				return status == http.StatusOK
			})
			status, _, body := f.post(0, "/v1/services/counter/balance", operation)
			assert.Equal(t, status, http.StatusOK, body)
			assert.Equal(t, body, string(fakes.PlainResponseBody("balance", []byte(operation))))
			assert.Assert(t, (<-server.Ended()).PeerClosed)
			balanceFirst.mu.Lock()
			delete(balanceFirst.seen, operation)
			balanceFirst.mu.Unlock()
			status, _, body = f.post(0, "/v1/services/counter/purchase", operation, "Idempotency-Key", "k")
			assertUnknownOutcome(t, status, body)
			assert.Assert(t, (<-server.Ended()).PeerClosed)
			assert.Equal(t, f.runCounter.Runs("purchase", "k", []byte(operation)), 0)
			status, _, body = f.post(0, "/v1/services/counter/balance", `{}`)
			assert.Equal(t, status, http.StatusOK, body)
		})
	}
}
