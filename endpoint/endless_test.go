package endpoint_test

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/endpoint"
	"github.com/snipestep/snipestep/internal/fakes"
	"github.com/snipestep/snipestep/internal/httpcall"
)

const (
	// slowPause is the time between two pieces of a slow answer, slowTimeout the
	// client's timeout then.
	slowPause   = time.Millisecond
	slowTimeout = time.Second
	// fastTimeout lets the bound in bytes act first.
	fastTimeout = 20 * time.Second
	// endlessMaxTokens keeps the bound of a stream below the bytes that the fake
	// server sends.
	endlessMaxTokens = 4
)

var endlessSpeeds = map[string]struct{ pause, timeout time.Duration }{
	"fast": {0, fastTimeout},
	"slow": {slowPause, slowTimeout},
}

// firstOrderID is the identifier of a client's first order.
const firstOrderID = "order-1"

// endlessCalls are calls whose answers carry the identifier of attempt a, or firstOrderID.
var endlessCalls = map[string]func(context.Context, endpoint.HTTPConfig) error{
	"generate": func(ctx context.Context, config endpoint.HTTPConfig) error {
		stream, err := endpoint.NewHTTPEngine(config).Generate(ctx, endpoint.GenerateRequest{Attempt: "a", MaxTokens: endlessMaxTokens})
		if err != nil {
			return err
		}
		_, err = readTokens(stream)
		return err
	},
	"plain call": func(ctx context.Context, config endpoint.HTTPConfig) error {
		_, err := endpoint.NewHTTPPlainService(config).Call(ctx, endpoint.PlainRequest{Attempt: "a", Operation: "o"})
		return err
	},
	"order": func(ctx context.Context, config endpoint.HTTPConfig) error {
		_, err := endpoint.NewHTTPEngine(config).Order(ctx, endpoint.Order{Fence: 1})
		return err
	},
	"status": func(ctx context.Context, config endpoint.HTTPConfig) error {
		_, err := endpoint.NewHTTPEngine(config).Status(ctx)
		return err
	},
	"cancel": func(ctx context.Context, config endpoint.HTTPConfig) error {
		return endpoint.NewHTTPEngine(config).Cancel(ctx, "a")
	},
}

func startEndless(t *testing.T, answer fakes.EndlessAnswer) *fakes.EndlessServer {
	t.Helper()
	server, err := fakes.StartEndlessServer(answer)
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	return server
}

// Guards against an answer without end that holds a call, counts as an answer or as
// a refusal, or whose connection carries another request.
func TestEndlessAnswerBreaksCallAndItsConnection(t *testing.T) {
	for callName, call := range endlessCalls {
		id := "a"
		if callName == "order" {
			id = firstOrderID
		}
		answers := fakes.EndlessHeads()
		maps.Copy(answers, fakes.EndlessBodies("HTTP/1.1 200 OK", endpoint.AttemptHeader+": "+id+"\r\n", "{}", strings.Repeat(" ", 16)))
		for answerName, answer := range answers {
			for speedName, speed := range endlessSpeeds {
				t.Run(answerName+"/"+callName+"/"+speedName, func(t *testing.T) {
					t.Parallel()
					server := startEndless(t, answer.WithPause(speed.pause))
					config := endpoint.HTTPConfig{BaseURL: "http://" + server.Address(), Timeout: speed.timeout}
					for range 2 {
						err := call(t.Context(), config)
						assert.Assert(t, isError[*endpoint.BrokenError](err), "got %v", err)
						ended := <-server.Ended()
						assert.Assert(t, ended.PeerClosed)
						assert.Equal(t, ended.Requests, 1)
					}
				})
			}
		}
	}
}

// A status tells by itself that the attempt has not started, whatever follows.
func TestRefusalOfStreamWithEndlessBodyIsNotStarted(t *testing.T) {
	for name, answer := range fakes.EndlessBodies("HTTP/1.1 503 Service Unavailable", endpoint.AttemptHeader+": a\r\n", "", " ") {
		t.Run(name, func(t *testing.T) {
			server := startEndless(t, answer)
			config := endpoint.HTTPConfig{BaseURL: "http://" + server.Address(), Timeout: fastTimeout}
			err := endlessCalls["generate"](t.Context(), config)
			assert.Assert(t, isError[*endpoint.NotStartedError](err), "got %v", err)
			assert.Assert(t, (<-server.Ended()).PeerClosed)
		})
	}
}

const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + tokenEvent + "\n\n"

var endlessStreams = map[string]struct {
	opening, piece string
	want           func(error) bool
}{
	"line":                    {streamHead + `data: {"id":"`, "x", isError[*endpoint.BrokenError]},
	"comments":                {streamHead, ": x\n", isError[*httpcall.TooLargeError]},
	"empty lines":             {streamHead, "\n", isError[*httpcall.TooLargeError]},
	"events of other attempt": {streamHead, otherAttemptDoneEvent + "\n\n", isError[*httpcall.TooLargeError]},
}

func endlessStream(opening, piece string, pause time.Duration) fakes.EndlessAnswer {
	return fakes.EndlessAnswer{Opening: func(*http.Request) string { return opening }, Piece: fakes.Repeat(piece), Pause: pause}
}

// Guards against a stream that goes on for ever, as fast as the connection carries
// it, without an event of the attempt.
func TestStreamIsBoundedInBytes(t *testing.T) {
	for name, tt := range endlessStreams {
		t.Run(name, func(t *testing.T) {
			server := startEndless(t, endlessStream(tt.opening, tt.piece, 0))
			config := endpoint.HTTPConfig{BaseURL: "http://" + server.Address(), Timeout: fastTimeout}
			stream, err := endpoint.NewHTTPEngine(config).Generate(t.Context(), endpoint.GenerateRequest{Attempt: "a", MaxTokens: endlessMaxTokens})
			assert.NilError(t, err)
			tokens, err := readTokens(stream)
			assert.Equal(t, tokens, 1)
			assert.Assert(t, isError[*endpoint.BrokenError](err) && tt.want(err), "got %v", err)
			ended := <-server.Ended()
			assert.Assert(t, ended.PeerClosed)
			assert.Equal(t, ended.Requests, 1)
		})
	}
}

// Guards against a stream that defeats the timeout with a few bytes now and then
// that are no event of the attempt.
func TestStreamWithoutEventsOfAttemptTimesOut(t *testing.T) {
	for name, tt := range endlessStreams {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := startEndless(t, endlessStream(tt.opening, tt.piece, slowPause))
			config := endpoint.HTTPConfig{BaseURL: "http://" + server.Address(), Timeout: slowTimeout}
			stream, err := endpoint.NewHTTPEngine(config).Generate(t.Context(), endpoint.GenerateRequest{Attempt: "a", MaxTokens: endlessMaxTokens})
			assert.NilError(t, err)
			tokens, err := readTokens(stream)
			assert.Equal(t, tokens, 1)
			assert.Assert(t, isError[*endpoint.BrokenError](err) && errors.Is(err, endpoint.ErrEventTimeout), "got %v", err)
			assert.Assert(t, (<-server.Ended()).PeerClosed)
		})
	}
}

// Guards against bytes behind the last event that hold the connection.
func TestConnectionIsClosedBehindLastEvent(t *testing.T) {
	server := startEndless(t, endlessStream(streamHead+doneEvent+"\n\n", terminatorEvent+"\n\n", 0))
	config := endpoint.HTTPConfig{BaseURL: "http://" + server.Address(), Timeout: fastTimeout}
	stream, err := endpoint.NewHTTPEngine(config).Generate(t.Context(), endpoint.GenerateRequest{Attempt: "a", MaxTokens: endlessMaxTokens})
	assert.NilError(t, err)
	tokens, err := readTokens(stream)
	assert.ErrorContains(t, err, "EOF")
	assert.Equal(t, tokens, 1)
	assert.Assert(t, (<-server.Ended()).PeerClosed)
}
