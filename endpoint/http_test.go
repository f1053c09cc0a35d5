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

func serve(t *testing.T, handler http.Handler) endpoint.HTTPConfig {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return endpoint.HTTPConfig{BaseURL: server.URL, Client: server.Client()}
}

func stream(events ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for _, event := range events {
			_, _ = io.WriteString(w, event+"\n\n")
		}
	}
}

func answer(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		httpcall.WriteError(w, status, httpcall.ErrorDocument{Code: "c"})
	}
}

func dropConnection(http.ResponseWriter, *http.Request) {
	panic(http.ErrAbortHandler)
}

func matches[T error](err error) bool {
	var want T
	return errors.As(err, &want)
}

func TestErrorsBeforeAndAfterTheStart(t *testing.T) {
	notStarted := matches[*endpoint.NotStartedError]
	broken := matches[*endpoint.BrokenError]
	for name, test := range map[string]struct {
		handler http.HandlerFunc
		want    func(error) bool
	}{
		"400":     {answer(400), notStarted},
		"404":     {answer(404), notStarted},
		"408":     {answer(408), broken},
		"429":     {answer(429), notStarted},
		"500":     {answer(500), broken},
		"502":     {answer(502), broken},
		"503":     {answer(503), notStarted},
		"504":     {answer(504), broken},
		"dropped": {dropConnection, broken},
	} {
		t.Run(name, func(t *testing.T) {
			config := serve(t, test.handler)
			_, err := endpoint.NewHTTPEngine(config).Generate(t.Context(), endpoint.GenerateRequest{Attempt: "a"})
			assert.Assert(t, test.want(err), "generate: %v", err)
			_, err = endpoint.NewHTTPPlain(config).Call(t.Context(), endpoint.PlainRequest{Attempt: "a", Operation: "o"})
			assert.Assert(t, test.want(err), "call: %v", err)
			_, err = endpoint.NewHTTPEngine(config).Order(t.Context(), endpoint.Order{Fence: 1})
			assert.Assert(t, test.want(err), "order: %v", err)
		})
	}
}

func TestRefusedConnectionDidNotStart(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	config := endpoint.HTTPConfig{BaseURL: server.URL}
	_, err := endpoint.NewHTTPEngine(config).Generate(t.Context(), endpoint.GenerateRequest{Attempt: "a"})
	assert.Assert(t, matches[*endpoint.NotStartedError](err), "got %v", err)
	_, err = endpoint.NewHTTPPlain(config).Call(t.Context(), endpoint.PlainRequest{Attempt: "a"})
	assert.Assert(t, matches[*endpoint.NotStartedError](err), "got %v", err)
}

const (
	tokenEvent   = `data: {"id":"a","token_index":0,"version":"v","choices":[{"text":"hi","finish_reason":null}]}`
	foreignDone  = `data: {"id":"b","token_index":1,"version":"v","choices":[{"text":"","finish_reason":"stop"}]}`
	doneEvent    = `data: {"id":"a","token_index":1,"version":"v","choices":[{"text":"","finish_reason":"stop"}]}`
	endEvent     = `data: [DONE]`
	garbageEvent = `data: {`
)

func TestStreams(t *testing.T) {
	for name, test := range map[string]struct {
		events []string
		tokens int
		whole  bool
	}{
		"whole":                     {[]string{": comment", tokenEvent, foreignDone, doneEvent, endEvent}, 1, true},
		"end without done":          {[]string{tokenEvent, endEvent}, 1, false},
		"foreign done then the end": {[]string{tokenEvent, foreignDone, endEvent}, 1, false},
		"cut":                       {[]string{tokenEvent}, 1, false},
		"empty":                     {nil, 0, false},
		"garbage":                   {[]string{garbageEvent, doneEvent}, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			engine := endpoint.NewHTTPEngine(serve(t, stream(test.events...)))
			answer, err := engine.Generate(t.Context(), endpoint.GenerateRequest{Attempt: "a"})
			assert.NilError(t, err)
			tokens, err := read(answer)
			assert.Equal(t, tokens, test.tokens)
			if test.whole {
				assert.ErrorIs(t, err, io.EOF)
				return
			}
			assert.Assert(t, matches[*endpoint.BrokenError](err), "got %v", err)
		})
	}
}

func read(answer endpoint.TokenStream) (int, error) {
	defer answer.Close()
	tokens := 0
	for {
		token, err := answer.Next()
		switch {
		case matches[*endpoint.ForeignAnswerError](err):
		case err != nil:
			return tokens, err
		case !token.Done:
			tokens++
		}
	}
}

// silentTransport answers with one event and then nothing.
type silentTransport struct{}

func (silentTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	body, events := io.Pipe()
	go func() {
		_, _ = io.WriteString(events, tokenEvent+"\n\n")
		<-r.Context().Done()
		events.CloseWithError(r.Context().Err())
	}()
	return &http.Response{StatusCode: http.StatusOK, Body: body, Request: r}, nil
}

func TestSilentStreamBreaks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &http.Client{Transport: silentTransport{}}
		config := endpoint.HTTPConfig{BaseURL: "http://127.0.0.1", Client: client, Timeout: time.Second}
		answer, err := endpoint.NewHTTPEngine(config).Generate(t.Context(), endpoint.GenerateRequest{Attempt: "a"})
		assert.NilError(t, err)
		tokens, err := read(answer)
		assert.ErrorIs(t, err, endpoint.ErrSilent)
		assert.Equal(t, tokens, 1)
	})
}

func TestPlainAnswers(t *testing.T) {
	ledger := fakes.NewLedger()
	service := fakes.NewPlain(fakes.PlainConfig{Operations: []string{"purchase"}, Slots: 1, LostRatio: 0.5, Seed: 1}, ledger)
	client := endpoint.NewHTTPPlain(serve(t, service))
	answered, lost := 0, 0
	for range 20 {
		response, err := client.Call(t.Context(), endpoint.PlainRequest{Attempt: "a/1", Operation: "purchase", IdempotencyKey: "k", Body: []byte("b")})
		if err != nil {
			assert.Assert(t, matches[*endpoint.BrokenError](err), "got %v", err)
			lost++
			continue
		}
		assert.Equal(t, response.Attempt, "a/1")
		assert.Equal(t, string(response.Body), string(fakes.PlainBody("purchase", []byte("b"))))
		answered++
	}
	assert.Equal(t, uint64(lost), service.Counts().Lost)
	assert.Assert(t, answered > 0 && lost > 0)
	assert.Equal(t, ledger.Runs("purchase", "k", nil), 20, "each call was sent once")
	assert.Equal(t, ledger.DoubleRuns("purchase"), 1)
	_, err := client.Call(t.Context(), endpoint.PlainRequest{Attempt: "a", Operation: "unknown"})
	assert.Assert(t, matches[*endpoint.NotStartedError](err), "got %v", err)
}

func TestPlainCrashAndCrossedAnswers(t *testing.T) {
	ledger := fakes.NewLedger()
	config := fakes.PlainConfig{Operations: []string{"book"}, Slots: 1, ForeignRatio: 1, Restart: time.Hour}
	service := fakes.NewPlain(config, ledger)
	client := endpoint.NewHTTPPlain(serve(t, service))
	_, err := client.Call(t.Context(), endpoint.PlainRequest{Attempt: "1", Operation: "book"})
	assert.NilError(t, err)
	_, err = client.Call(t.Context(), endpoint.PlainRequest{Attempt: "2", Operation: "book", Body: []byte("x")})
	assert.Assert(t, matches[*endpoint.ForeignAnswerError](err), "got %v", err)
	_, err = client.Call(t.Context(), endpoint.PlainRequest{Attempt: "3", Operation: "book", Body: []byte(fakes.CrashMarker)})
	assert.Assert(t, matches[*endpoint.BrokenError](err), "got %v", err)
	_, err = client.Call(t.Context(), endpoint.PlainRequest{Attempt: "4", Operation: "book"})
	assert.Assert(t, matches[*endpoint.NotStartedError](err), "got %v", err)
	assert.Equal(t, ledger.Runs("book", "", []byte(fakes.CrashMarker)), 1)
}
