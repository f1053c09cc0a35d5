package backing_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/internal/fakes"
	"github.com/snipestep/snipestep/internal/httpcall"
)

func startServer(t *testing.T, handler http.Handler) backing.HTTPConfig {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return backing.HTTPConfig{BaseURL: server.URL, Client: server.Client()}
}

func closedServerConfig(t *testing.T) backing.HTTPConfig {
	t.Helper()
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	return backing.HTTPConfig{BaseURL: server.URL}
}

func respondWithError(status int, code string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		httpcall.WriteError(w, status, httpcall.ErrorDocument{Code: code, RetryAfterMS: 40})
	})
}

func dropConnection(http.ResponseWriter, *http.Request) {
	panic(http.ErrAbortHandler)
}

func truncateResponse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	w.Header().Set(backing.VersionHeader, "1")
	_, _ = w.Write([]byte("part"))
	panic(http.ErrAbortHandler)
}

func sendMalformedJSON(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("{"))
}

func hasType[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}

func TestReadAndWriteErrors(t *testing.T) {
	unavailable := hasType[*backing.UnavailableError]
	unknown := hasType[*backing.UnknownOutcomeError]
	limited := hasType[*backing.RateLimitedError]
	rejected := hasType[*backing.RejectedError]
	for name, test := range map[string]struct {
		config func(*testing.T) backing.HTTPConfig
		read   func(error) bool
		write  func(error) bool
	}{
		"connection refused":     {closedServerConfig, unavailable, unavailable},
		"503":                    {startServerWith(respondWithError(503, backing.CodeUnavailable)), unavailable, unavailable},
		"429":                    {startServerWith(respondWithError(429, backing.CodeRateLimited)), limited, limited},
		"400":                    {startServerWith(respondWithError(400, backing.CodeBadRequest)), rejected, rejected},
		"404 without known code": {startServerWith(http.NotFoundHandler()), rejected, rejected},
		"500":                    {startServerWith(respondWithError(500, "")), unavailable, unknown},
		"502":                    {startServerWith(respondWithError(502, "")), unavailable, unknown},
		"dropped connection":     {startServerWith(http.HandlerFunc(dropConnection)), unavailable, unknown},
		"truncated response":     {startServerWith(http.HandlerFunc(truncateResponse)), unavailable, unknown},
		"malformed response":     {startServerWith(http.HandlerFunc(sendMalformedJSON)), unavailable, unknown},
	} {
		t.Run(name, func(t *testing.T) {
			client := backing.NewHTTPKeyValue(test.config(t))
			_, err := client.Get(t.Context(), "k")
			assert.Assert(t, test.read(err), "get: %v", err)
			_, err = client.CompareAndSwap(t.Context(), "k", 0, nil, 0)
			assert.Assert(t, test.write(err), "swap: %v", err)
			_, err = client.Grant(t.Context(), time.Second)
			assert.Assert(t, test.write(err), "grant: %v", err)
		})
	}
}

func startServerWith(handler http.Handler) func(*testing.T) backing.HTTPConfig {
	return func(t *testing.T) backing.HTTPConfig { return startServer(t, handler) }
}

func TestCancelledWriteHasUnknownOutcome(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	config := startServer(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		cancel()
		waitForDisconnect(r)
	}))
	_, err := backing.NewHTTPKeyValue(config).CompareAndSwap(ctx, "k", 0, []byte("v"), 0)
	assert.Assert(t, hasType[*backing.UnknownOutcomeError](err), "got %v", err)
	assert.ErrorIs(t, err, context.Canceled)
	_, err = backing.NewHTTPKeyValue(config).CompareAndSwap(ctx, "k", 0, []byte("v"), 0)
	assert.Assert(t, hasType[*backing.UnavailableError](err), "not sent: %v", err)
}

// waitForDisconnect blocks until the client has closed the connection, so that the
// handler's empty response cannot arrive before the client aborts the call. The
// server notices the disconnect only once the body is read.
func waitForDisconnect(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

func TestInstanceListLags(t *testing.T) {
	now := time.Unix(1000, 0)
	list := fakes.NewInstanceList(time.Minute, func() time.Time { return now })
	client := backing.NewHTTPInstanceList(startServer(t, list))
	countInstances := func() int {
		instances, err := client.Instances(t.Context())
		assert.NilError(t, err)
		return len(instances)
	}
	assert.Equal(t, countInstances(), 0)
	list.Set([]core.Instance{{ID: "a"}})
	assert.Equal(t, countInstances(), 1)
	list.Put(core.Instance{ID: "b"})
	assert.Equal(t, countInstances(), 1)
	now = now.Add(time.Minute)
	assert.Equal(t, countInstances(), 2)
	list.Remove("a")
	assert.Equal(t, countInstances(), 2)
	now = now.Add(time.Minute)
	assert.Equal(t, countInstances(), 1)
}

func testWeights() fakes.Weights {
	manifest := []byte("manifest")
	return fakes.Weights{
		Ref:        core.ModelRef{Model: "org/model", Version: "v1", Manifest: core.SumDigest(manifest)},
		Manifest:   manifest,
		ChunkCount: 2,
		ReadChunk:  fakes.ChunksOf([][]byte{[]byte("zero"), []byte("one")}),
	}
}

func TestWeightStoreServesAndRateLimits(t *testing.T) {
	now := time.Unix(1000, 0)
	store := fakes.NewWeightStore(10, 4, func() time.Time { return now })
	weights := testWeights()
	store.Publish(weights)
	client := backing.NewHTTPWeightStore(startServer(t, store))
	ref, err := client.Resolve(t.Context(), "org/model", "v1")
	assert.NilError(t, err)
	assert.Equal(t, ref, weights.Ref)
	encoded, err := client.Manifest(t.Context(), ref.Manifest)
	assert.NilError(t, err)
	assert.Equal(t, string(encoded), "manifest")
	data, err := client.Chunk(t.Context(), ref.Manifest, 1)
	assert.NilError(t, err)
	assert.Equal(t, string(data), "one")
	_, err = client.Resolve(t.Context(), "org/model", "v2")
	assert.ErrorIs(t, err, backing.ErrNotFound)
	_, err = client.Chunk(t.Context(), ref.Manifest, 0)
	var limited *backing.RateLimitedError
	assert.Assert(t, errors.As(err, &limited), "got %v", err)
	assert.Equal(t, limited.RetryAfterMS, int64(100))
	store.SetDown(true)
	_, err = client.Manifest(t.Context(), ref.Manifest)
	assert.Assert(t, hasType[*backing.UnavailableError](err), "got %v", err)
}

func TestOriginCountsBytesAndCorruptsChunks(t *testing.T) {
	origin := fakes.NewOrigin()
	weights := testWeights()
	origin.Publish(weights)
	client := backing.NewHTTPOrigin(startServer(t, origin))
	data, err := client.Chunk(t.Context(), weights.Ref.Manifest, 0)
	assert.NilError(t, err)
	assert.Equal(t, string(data), "zero")
	origin.SetCorruptRatio(1, 1)
	data, err = client.Chunk(t.Context(), weights.Ref.Manifest, 0)
	assert.NilError(t, err)
	assert.Assert(t, string(data) != "zero")
	assert.Equal(t, origin.SentBytes()[weights.Ref.Manifest], uint64(8))
	assert.Equal(t, origin.CorruptResponses(), uint64(1))
	_, err = client.Chunk(t.Context(), weights.Ref.Manifest, 2)
	assert.ErrorIs(t, err, backing.ErrNotFound)
}
