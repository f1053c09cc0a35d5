package endpoint_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/endpoint"
	"github.com/snipestep/snipestep/internal/fakes"
	"github.com/snipestep/snipestep/internal/httpcall"
)

func startServer(t *testing.T, handler http.Handler) endpoint.HTTPConfig {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return endpoint.HTTPConfig{BaseURL: server.URL, Client: server.Client()}
}

func streamEvents(events ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for _, event := range events {
			_, _ = io.WriteString(w, event+"\n\n")
		}
	}
}

func respondWithError(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(endpoint.AttemptHeader, r.Header.Get(endpoint.AttemptHeader))
		httpcall.WriteError(w, status, httpcall.ErrorDocument{Code: "c"})
	}
}

// respondToCall answers a call with a status: as a refusal before it ran, or without telling
// to which call.
func respondToCall(status int, refusal bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if refusal {
			w.Header().Set(endpoint.AttemptHeader, r.Header.Get(endpoint.AttemptHeader))
			w.Header().Set(endpoint.RunHeader, endpoint.RunNotRun)
		}
		httpcall.WriteError(w, status, httpcall.ErrorDocument{Code: "c"})
	}
}

func dropConnection(http.ResponseWriter, *http.Request) {
	panic(http.ErrAbortHandler)
}

func isError[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}

func TestErrorTellsWhetherAttemptStarted(t *testing.T) {
	notStarted := isError[*endpoint.NotStartedError]
	broken := isError[*endpoint.BrokenError]
	mismatched := isError[*endpoint.AttemptMismatchError]
	for name, tt := range map[string]struct {
		handler, callHandler http.HandlerFunc
		want, wantOfCall     func(error) bool
	}{
		"400":     {respondWithError(400), respondToCall(400, true), notStarted, notStarted},
		"404":     {respondWithError(404), respondToCall(404, true), notStarted, notStarted},
		"408":     {respondWithError(408), respondToCall(408, false), broken, mismatched},
		"429":     {respondWithError(429), respondToCall(429, true), notStarted, notStarted},
		"500":     {respondWithError(500), respondToCall(500, false), broken, mismatched},
		"502":     {respondWithError(502), respondToCall(502, false), broken, mismatched},
		"503":     {respondWithError(503), respondToCall(503, true), notStarted, notStarted},
		"504":     {respondWithError(504), respondToCall(504, false), broken, mismatched},
		"dropped": {dropConnection, dropConnection, broken, broken},
	} {
		t.Run(name, func(t *testing.T) {
			config := startServer(t, tt.handler)
			_, err := endpoint.NewHTTPEngine(config).Generate(t.Context(), endpoint.GenerateRequest{Attempt: "a"})
			assert.Assert(t, tt.want(err), "generate: %v", err)
			_, err = endpoint.NewHTTPEngine(config).Order(t.Context(), endpoint.Order{Fence: 1})
			assert.Assert(t, tt.want(err), "order: %v", err)
			_, err = endpoint.NewHTTPPlainService(startServer(t, tt.callHandler)).Call(t.Context(), endpoint.PlainRequest{Attempt: "a", Operation: "o"})
			assert.Assert(t, tt.wantOfCall(err), "call: %v", err)
		})
	}
}

func TestRefusedConnectionIsNotStarted(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	config := endpoint.HTTPConfig{BaseURL: server.URL}
	_, err := endpoint.NewHTTPEngine(config).Generate(t.Context(), endpoint.GenerateRequest{Attempt: "a"})
	assert.Assert(t, isError[*endpoint.NotStartedError](err), "got %v", err)
	_, err = endpoint.NewHTTPPlainService(config).Call(t.Context(), endpoint.PlainRequest{Attempt: "a"})
	assert.Assert(t, isError[*endpoint.NotStartedError](err), "got %v", err)
}

const (
	tokenEvent            = `data: {"id":"a","token_index":0,"version":"v","choices":[{"text":"hi","finish_reason":null}]}`
	otherAttemptDoneEvent = `data: {"id":"b","token_index":1,"version":"v","choices":[{"text":"","finish_reason":"stop"}]}`
	doneEvent             = `data: {"id":"a","token_index":1,"version":"v","choices":[{"text":"","finish_reason":"stop"}]}`
	terminatorEvent       = `data: [DONE]`
	malformedEvent        = `data: {`
)

func TestStreamEndsWithDoneOrBreaks(t *testing.T) {
	for name, tt := range map[string]struct {
		events   []string
		tokens   int
		complete bool
	}{
		"complete":                {[]string{": comment", tokenEvent, otherAttemptDoneEvent, doneEvent, terminatorEvent}, 1, true},
		"terminator without done": {[]string{tokenEvent, terminatorEvent}, 1, false},
		"done of another attempt": {[]string{tokenEvent, otherAttemptDoneEvent, terminatorEvent}, 1, false},
		"truncated":               {[]string{tokenEvent}, 1, false},
		"empty":                   {nil, 0, false},
		"malformed event":         {[]string{malformedEvent, doneEvent}, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			engine := endpoint.NewHTTPEngine(startServer(t, streamEvents(tt.events...)))
			tokenStream, err := engine.Generate(t.Context(), endpoint.GenerateRequest{Attempt: "a"})
			assert.NilError(t, err)
			tokens, err := readTokens(tokenStream)
			assert.Equal(t, tokens, tt.tokens)
			if tt.complete {
				assert.ErrorIs(t, err, io.EOF)
				return
			}
			assert.Assert(t, isError[*endpoint.BrokenError](err), "got %v", err)
		})
	}
}

func readTokens(stream endpoint.TokenStream) (int, error) {
	defer stream.Close()
	tokens := 0
	for {
		token, err := stream.Next()
		switch {
		case isError[*endpoint.AttemptMismatchError](err):
		case err != nil:
			return tokens, err
		case !token.Done:
			tokens++
		}
	}
}

// stallingTransport sends one event and then stalls until the request ends.
type stallingTransport struct{}

func (stallingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	body, events := io.Pipe()
	go func() {
		_, _ = io.WriteString(events, tokenEvent+"\n\n")
		<-r.Context().Done()
		events.CloseWithError(r.Context().Err())
	}()
	return &http.Response{StatusCode: http.StatusOK, Body: body, Request: r}, nil
}

func TestStreamWithoutEventsTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &http.Client{Transport: stallingTransport{}}
		config := endpoint.HTTPConfig{BaseURL: "http://127.0.0.1", Client: client, Timeout: time.Second}
		tokenStream, err := endpoint.NewHTTPEngine(config).Generate(t.Context(), endpoint.GenerateRequest{Attempt: "a"})
		assert.NilError(t, err)
		tokens, err := readTokens(tokenStream)
		assert.ErrorIs(t, err, endpoint.ErrEventTimeout)
		assert.Equal(t, tokens, 1)
	})
}

func TestPlainCallIsSentOnce(t *testing.T) {
	runCounter := fakes.NewRunCounter()
	service := fakes.NewPlainService(fakes.PlainServiceConfig{Operations: []string{"purchase"}, Slots: 1, DroppedResponseRatio: 0.5, Seed: 1}, runCounter)
	client := endpoint.NewHTTPPlainService(startServer(t, service))
	answered, lost := 0, 0
	for range 20 {
		response, err := client.Call(t.Context(), endpoint.PlainRequest{Attempt: "a/1", Operation: "purchase", IdempotencyKey: "k", Body: []byte("b")})
		if err != nil {
			assert.Assert(t, isError[*endpoint.BrokenError](err), "got %v", err)
			lost++
			continue
		}
		assert.Equal(t, response.Attempt, "a/1")
		assert.Equal(t, string(response.Body), string(fakes.PlainResponseBody("purchase", []byte("b"))))
		answered++
	}
	assert.Equal(t, uint64(lost), service.Counts().DroppedResponses)
	assert.Assert(t, answered > 0 && lost > 0)
	assert.Equal(t, runCounter.Runs("purchase", "k", nil), 20, "each call is sent exactly once")
	assert.Equal(t, runCounter.DoubleRuns("purchase"), 1)
	_, err := client.Call(t.Context(), endpoint.PlainRequest{Attempt: "a", Operation: "unknown"})
	assert.Assert(t, isError[*endpoint.NotStartedError](err), "got %v", err)
}

func TestPlainServiceCrashAndMisdeliveredAnswer(t *testing.T) {
	runCounter := fakes.NewRunCounter()
	config := fakes.PlainServiceConfig{Operations: []string{"book"}, Slots: 1, AttemptMismatchRatio: 1, RestartDuration: time.Hour}
	service := fakes.NewPlainService(config, runCounter)
	client := endpoint.NewHTTPPlainService(startServer(t, service))
	_, err := client.Call(t.Context(), endpoint.PlainRequest{Attempt: "1", Operation: "book"})
	assert.NilError(t, err)
	_, err = client.Call(t.Context(), endpoint.PlainRequest{Attempt: "2", Operation: "book", Body: []byte("x")})
	assert.Assert(t, isError[*endpoint.AttemptMismatchError](err), "got %v", err)
	_, err = client.Call(t.Context(), endpoint.PlainRequest{Attempt: "3", Operation: "book", Body: []byte(fakes.CrashMarker)})
	assert.Assert(t, isError[*endpoint.BrokenError](err), "got %v", err)
	_, err = client.Call(t.Context(), endpoint.PlainRequest{Attempt: "4", Operation: "book"})
	assert.Assert(t, isError[*endpoint.NotStartedError](err), "got %v", err)
	assert.Equal(t, runCounter.Runs("book", "", []byte(fakes.CrashMarker)), 1)
}
