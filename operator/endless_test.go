package operator_test

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
	"github.com/snipestep/snipestep/internal/fakes"
	"github.com/snipestep/snipestep/internal/httpcall"
	"github.com/snipestep/snipestep/operator"
	"github.com/snipestep/snipestep/problem"
)

const (
	slowPause = time.Millisecond
	// slowTimeout limits calls of a slow server, fastTimeout lets the bound in
	// bytes act first.
	slowTimeout = time.Second
	fastTimeout = 20 * time.Second
	// clientBytes is what the client may read of a body: its bound of 16 MiB, and a buffer.
	clientBytes = 16<<20 + 64<<10
	// serverBytes lets the client's bound act first: the kernel takes up to 36 MiB beside
	// what the client reads.
	serverBytes = 96 << 20
	// sharedTimeout leaves a server behind a slow one half a minute.
	sharedTimeout = time.Minute
)

var endlessTransport = httpcall.NewTransport()

var endlessSpeeds = map[string]struct{ pause, timeout time.Duration }{
	"fast": {0, fastTimeout},
	"slow": {slowPause, slowTimeout},
}

var endlessCalls = map[string]func(context.Context, *operator.Client) error{
	"plan":    func(ctx context.Context, c *operator.Client) error { _, err := c.Plan(ctx, "p"); return err },
	"confirm": func(ctx context.Context, c *operator.Client) error { _, err := c.Confirm(ctx, "p"); return err },
	"status":  func(ctx context.Context, c *operator.Client) error { _, err := c.Status(ctx); return err },
	"watch": func(ctx context.Context, c *operator.Client) error {
		return c.Watch(ctx, func(operator.Status) error { return errors.New("no status was sent") })
	},
}

func startEndless(t *testing.T, answer fakes.EndlessAnswer) *fakes.EndlessServer {
	t.Helper()
	server, err := fakes.StartEndlessServer(answer)
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	return server
}

func endlessClient(servers ...*fakes.EndlessServer) *operator.Client {
	urls := make([]string, 0, len(servers))
	for _, server := range servers {
		urls = append(urls, "http://"+server.Address())
	}
	return operator.NewClient(urls, "t", nil)
}

// Guards against a response without end that counts as one, such as a document with
// bytes behind it, or that holds a command.
func TestEndlessResponseIsNoResponse(t *testing.T) {
	bodies := fakes.EndlessBodies("HTTP/1.1 200 OK", "", "{}", "                ")
	answers := fakes.EndlessHeads()
	maps.Copy(answers, bodies)
	for answerName, answer := range answers {
		for callName, call := range endlessCalls {
			for speedName, speed := range endlessSpeeds {
				t.Run(answerName+"/"+callName+"/"+speedName, func(t *testing.T) {
					t.Parallel()
					answer := answer.WithPause(speed.pause)
					read := new(countingTransport)
					var httpClient *http.Client // The default one, which limits heads.
					if _, isBody := bodies[answerName]; isBody {
						answer.MaxBytes = serverBytes
						httpClient = &http.Client{Transport: read}
					}
					server := startEndless(t, answer)
					ctx, cancel := context.WithTimeout(t.Context(), speed.timeout)
					defer cancel()
					client := operator.NewClient([]string{"http://" + server.Address()}, "t", httpClient)
					err := call(ctx, client)
					assert.Assert(t, err != nil)
					assert.Assert(t, !isProblem(err), "got %v", err)
					ended := <-server.Ended()
					assert.Assert(t, ended.PeerClosed)
					assert.Equal(t, ended.Requests, 1)
					assert.Assert(t, read.bytes.Load() <= clientBytes, "the client read %d bytes", read.bytes.Load())
				})
			}
		}
	}
}

// countingTransport counts the bytes of response bodies that the client reads.
type countingTransport struct {
	bytes atomic.Int64
}

// RoundTrip implements http.RoundTripper.
func (c *countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := endlessTransport.RoundTrip(r)
	if err == nil {
		response.Body = &countingBody{response.Body, &c.bytes}
	}
	return response, err
}

type countingBody struct {
	io.ReadCloser
	bytes *atomic.Int64
}

// Read implements io.Reader.
func (b *countingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.bytes.Add(int64(n))
	return n, err
}

func isProblem(err error) bool {
	var target *problem.Error
	return errors.As(err, &target)
}

// Guards against a server that keeps a command from the servers behind it.
func TestServerBehindEndlessOneResponds(t *testing.T) {
	healthy := httptest.NewServer(operator.NewHandler(stubService{}, []core.Digest{fleet.TokenDigest("t")}))
	t.Cleanup(healthy.Close)
	answers := fakes.EndlessHeads()
	maps.Copy(answers, fakes.EndlessBodies("HTTP/1.1 200 OK", "", "{}", "                "))
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			server := startEndless(t, answer)
			client := operator.NewClient([]string{"http://" + server.Address(), healthy.URL}, "t", nil)
			ctx, cancel := context.WithTimeout(t.Context(), sharedTimeout)
			defer cancel()
			_, err := client.Status(ctx)
			assert.NilError(t, err)
			assert.Assert(t, (<-server.Ended()).PeerClosed)
		})
	}
}

// Guards against a slow server that uses up the time of all of them.
func TestSlowServerLeavesTimeToOthers(t *testing.T) {
	healthy := httptest.NewServer(operator.NewHandler(stubService{}, []core.Digest{fleet.TokenDigest("t")}))
	t.Cleanup(healthy.Close)
	answer := fakes.EndlessHeads()["headers"]
	answer.Pause = slowPause
	for name, call := range map[string]func(context.Context, *operator.Client) error{
		"status": func(ctx context.Context, c *operator.Client) error { _, err := c.Status(ctx); return err },
		"watch": func(ctx context.Context, c *operator.Client) error {
			err := c.Watch(ctx, func(operator.Status) error { return nil })
			if errors.Is(err, operator.ErrStreamEnded) {
				return nil
			}
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := startEndless(t, answer)
			// The slow server takes its part, the other one has as much and more.
			urls := []string{"http://" + server.Address()}
			for range 20 {
				urls = append(urls, healthy.URL)
			}
			ctx, cancel := context.WithTimeout(t.Context(), fastTimeout)
			defer cancel()
			assert.NilError(t, call(ctx, operator.NewClient(urls, "t", nil)))
			assert.Assert(t, (<-server.Ended()).PeerClosed)
		})
	}
}

// A status other than 200 is a refusal by itself, whatever follows.
func TestRefusalOfWatchWithEndlessBody(t *testing.T) {
	for name, answer := range fakes.EndlessBodies("HTTP/1.1 503 Service Unavailable", "Content-Type: application/problem+json\r\n", "", " ") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := startEndless(t, answer)
			ctx, cancel := context.WithTimeout(t.Context(), fastTimeout)
			defer cancel()
			err := endlessCalls["watch"](ctx, endlessClient(server))
			assert.Assert(t, isProblem(err), "got %v", err)
			assert.Assert(t, (<-server.Ended()).PeerClosed)
		})
	}
}

// Guards against a stream that goes on for ever without a status.
func TestWatchIsBoundedBetweenStatuses(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nevent: status\ndata: {}\n\n"
	for name, piece := range map[string]string{"comments": ": x\n", "empty lines": "\n", "other events": "event: other\n\n"} {
		t.Run(name, func(t *testing.T) {
			server := startEndless(t, fakes.EndlessAnswer{Opening: func(*http.Request) string { return head }, Piece: fakes.Repeat(piece)})
			statuses := 0
			err := endlessClient(server).Watch(t.Context(), func(operator.Status) error {
				statuses++
				return nil
			})
			assert.ErrorIs(t, err, operator.ErrNoStatus)
			assert.Equal(t, statuses, 1)
			assert.Assert(t, (<-server.Ended()).PeerClosed)
		})
	}
}
