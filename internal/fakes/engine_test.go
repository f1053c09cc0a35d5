package fakes_test

import (
	"context"
	"errors"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/endpoint"
	"github.com/snipestep/snipestep/internal/fakes"
)

// testManifest is a manifest encoded as the concatenated digests of its chunks.
type testManifest struct {
	encoded []byte
	chunks  [][]byte
}

func newTestManifest(chunks ...string) testManifest {
	var m testManifest
	for _, chunk := range chunks {
		digest := core.SumDigest([]byte(chunk))
		m.encoded = append(m.encoded, digest[:]...)
		m.chunks = append(m.chunks, []byte(chunk))
	}
	return m
}

func (m testManifest) ref(version string) core.ModelRef {
	return core.ModelRef{Model: "m", Version: version, Manifest: core.SumDigest(m.encoded)}
}

func decodeTestManifest(encoded []byte) ([]core.Digest, error) {
	var digests []core.Digest
	for ; len(encoded) >= core.DigestSize; encoded = encoded[core.DigestSize:] {
		digests = append(digests, core.Digest(encoded[:core.DigestSize]))
	}
	return digests, nil
}

// sleepGate provides a Sleep that blocks only for the duration blocked, until
// open is closed, and returns at once for every other duration.
type sleepGate struct {
	blocked time.Duration
	reached chan struct{}
	open    chan struct{}
}

func newSleepGate(blocked time.Duration) *sleepGate {
	return &sleepGate{blocked: blocked, reached: make(chan struct{}, 16), open: make(chan struct{})}
}

func (g *sleepGate) sleep(ctx context.Context, duration time.Duration) error {
	if duration != g.blocked {
		return ctx.Err()
	}
	g.reached <- struct{}{}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-g.open:
		return nil
	}
}

const blockedDuration = time.Second

func startEngine(t *testing.T, configure func(*fakes.EngineConfig)) (*fakes.Engine, *endpoint.HTTPEngine) {
	t.Helper()
	config := fakes.EngineConfig{Slots: 4, OutputTokens: 5, Seed: 1, ChunkDigests: decodeTestManifest, ChecksFencing: true}
	if configure != nil {
		configure(&config)
	}
	engine := fakes.NewEngine(config)
	server := httptest.NewServer(engine)
	t.Cleanup(server.Close)
	return engine, endpoint.NewHTTPEngine(endpoint.HTTPConfig{BaseURL: server.URL, Client: server.Client()})
}

func loadModel(t *testing.T, client *endpoint.HTTPEngine, fence core.Fence, manifest testManifest, version string, chunks [][]byte) endpoint.OrderOutcome {
	t.Helper()
	ref := manifest.ref(version)
	for index, chunk := range chunks {
		assert.NilError(t, client.StageChunk(t.Context(), ref.Manifest, index, chunk))
	}
	outcome, err := client.Order(t.Context(), endpoint.Order{Fence: fence, Model: ref, Manifest: manifest.encoded, Role: "mixed"})
	assert.NilError(t, err)
	return outcome
}

// readStream reads a stream to its end and counts the events of other attempts.
func readStream(stream endpoint.TokenStream) (texts []string, mismatches int, err error) {
	defer stream.Close()
	for {
		token, err := stream.Next()
		var mismatch *endpoint.AttemptMismatchError
		switch {
		case errors.As(err, &mismatch):
			mismatches++
		case errors.Is(err, io.EOF):
			return texts, mismatches, nil
		case err != nil:
			return texts, mismatches, err
		case !token.Done:
			texts = append(texts, token.Text)
		}
	}
}

func expectedTokens(prompt, version string, from, to int) []string {
	var texts []string
	for index := from; index < to; index++ {
		texts = append(texts, fakes.TokenText(prompt, version, index))
	}
	return texts
}

func TestEngineAnswerIsCompleteAmongMismatchedEvents(t *testing.T) {
	engine, client := startEngine(t, func(c *fakes.EngineConfig) { c.AttemptMismatchRatio = 0.5 })
	manifest := newTestManifest("a", "b")
	outcome := loadModel(t, client, 1, manifest, "v1", manifest.chunks)
	assert.Equal(t, outcome.Serving, manifest.ref("v1"))
	stream, err := client.Generate(t.Context(), endpoint.GenerateRequest{Attempt: "t/1", Prompt: "p", PrefixTokens: []string{"x"}, Model: outcome.Serving})
	assert.NilError(t, err)
	texts, mismatches, err := readStream(stream)
	assert.NilError(t, err)
	assert.DeepEqual(t, texts, expectedTokens("p", "v1", 1, 5))
	assert.Equal(t, uint64(mismatches), engine.Counts().AttemptMismatches)
	assert.Assert(t, mismatches > 0)
	assert.Equal(t, engine.PromptStarts("p"), 1)
}

func TestEngineCountsMixedWeights(t *testing.T) {
	engine, client := startEngine(t, nil)
	manifest := newTestManifest("a", "b", "c")
	outcome := loadModel(t, client, 1, manifest, "v1", [][]byte{[]byte("a"), []byte("wrong")})
	assert.Equal(t, outcome.Serving.Version, fakes.MixedVersion)
	assert.Equal(t, engine.Counts().MixedWeights, uint64(1))
	assert.Equal(t, engine.Counts().CorruptChunks, uint64(1))
	outcome = loadModel(t, client, 2, manifest, "v1", manifest.chunks)
	assert.Equal(t, outcome.Serving, manifest.ref("v1"))
}

func TestEngineFencing(t *testing.T) {
	for _, checks := range []bool{true, false} {
		engine, client := startEngine(t, func(c *fakes.EngineConfig) { c.ChecksFencing = checks })
		manifest := newTestManifest("a")
		loadModel(t, client, 7, manifest, "v1", manifest.chunks)
		_, err := client.Order(t.Context(), endpoint.Order{Fence: 6, Role: "prefill"})
		var fenced *endpoint.FencedError
		assert.Equal(t, errors.As(err, &fenced), checks)
		if checks {
			assert.Equal(t, fenced.Highest, core.Fence(7))
			continue
		}
		assert.Equal(t, engine.Counts().StaleOrders, uint64(1))
	}
}

func TestEngineLoadEndsRunningAndRefusesQueued(t *testing.T) {
	gate := newSleepGate(blockedDuration)
	engine, client := startEngine(t, func(c *fakes.EngineConfig) {
		c.Slots = 1
		c.FirstTokenDelay = blockedDuration
		c.Sleep = gate.sleep
	})
	firstManifest, secondManifest := newTestManifest("a"), newTestManifest("b")
	loadModel(t, client, 1, firstManifest, "v1", firstManifest.chunks)
	runningStream, err := client.Generate(t.Context(), endpoint.GenerateRequest{Attempt: "1", Prompt: "p"})
	assert.NilError(t, err)
	<-gate.reached
	queued := make(chan error, 1)
	go func() {
		_, err := client.Generate(context.Background(), endpoint.GenerateRequest{Attempt: "2", Prompt: "q"})
		queued <- err
	}()
	loadModel(t, client, 2, secondManifest, "v2", secondManifest.chunks)
	_, _, err = readStream(runningStream)
	var broken *endpoint.BrokenError
	assert.Assert(t, errors.As(err, &broken), "got %v", err)
	close(gate.open)
	err = <-queued
	var notStarted *endpoint.NotStartedError
	assert.Assert(t, err == nil || errors.As(err, &notStarted), "got %v", err)
	assert.Equal(t, engine.Counts().EndedByLoad, uint64(1))
	if err != nil {
		assert.Equal(t, engine.PromptStarts("q"), 0)
	}
}

func TestEngineCrashEndsAttemptsAndUnloadsModel(t *testing.T) {
	clock := newManualClock()
	gate := newSleepGate(blockedDuration)
	engine, client := startEngine(t, func(c *fakes.EngineConfig) {
		c.RestartDuration = time.Minute
		c.Clock = clock.Now
		c.FirstTokenDelay = blockedDuration
		c.Sleep = gate.sleep
	})
	manifest := newTestManifest("a")
	loadModel(t, client, 1, manifest, "v1", manifest.chunks)
	otherStream, err := client.Generate(t.Context(), endpoint.GenerateRequest{Attempt: "1", Prompt: "p"})
	assert.NilError(t, err)
	<-gate.reached
	stream, err := client.Generate(t.Context(), endpoint.GenerateRequest{Attempt: "2", Prompt: "x " + fakes.CrashMarker})
	if err == nil {
		_, _, err = readStream(stream)
	}
	var broken *endpoint.BrokenError
	assert.Assert(t, errors.As(err, &broken), "got %v", err)
	_, _, err = readStream(otherStream)
	assert.Assert(t, errors.As(err, &broken), "got %v", err)
	_, err = client.Generate(t.Context(), endpoint.GenerateRequest{Attempt: "3", Prompt: "p"})
	var notStarted *endpoint.NotStartedError
	assert.Assert(t, errors.As(err, &notStarted), "got %v", err)
	clock.Advance(2 * time.Minute)
	status, err := client.Status(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, status.Serving.IsZero())
	assert.Equal(t, engine.Counts().EndedByCrash, uint64(2))
}

func TestEngineImportsExportedCache(t *testing.T) {
	manifest := newTestManifest("a")
	_, exporter := startEngine(t, nil)
	importingEngine, importer := startEngine(t, nil)
	loadModel(t, exporter, 1, manifest, "v1", manifest.chunks)
	loadModel(t, importer, 1, manifest, "v1", manifest.chunks)
	stream, err := exporter.Generate(t.Context(), endpoint.GenerateRequest{Attempt: "1", Prompt: "p", MaxTokens: 3})
	assert.NilError(t, err)
	first, _, err := readStream(stream)
	assert.NilError(t, err)
	handle, err := exporter.ExportCache(t.Context(), "1", nil)
	assert.NilError(t, err)
	stream, err = importer.Generate(t.Context(), endpoint.GenerateRequest{Attempt: "2", Prompt: "p", PrefixTokens: first, CacheHandle: handle})
	assert.NilError(t, err)
	rest, _, err := readStream(stream)
	assert.NilError(t, err)
	assert.Equal(t, strings.Join(append(first, rest...), ""), strings.Join(expectedTokens("p", "v1", 0, 5), ""))
	assert.Equal(t, importingEngine.Counts().Imports, uint64(1))
}

func TestEngineCancelAndWorkAfterLeave(t *testing.T) {
	clock := newManualClock()
	gate := newSleepGate(blockedDuration)
	engine, client := startEngine(t, func(c *fakes.EngineConfig) {
		c.Clock = clock.Now
		c.FirstTokenDelay = blockedDuration
		c.Sleep = gate.sleep
	})
	manifest := newTestManifest("a")
	loadModel(t, client, 1, manifest, "v1", manifest.chunks)
	engine.MarkLeaving(clock.Now())
	clock.Advance(time.Second)
	stream, err := client.Generate(t.Context(), endpoint.GenerateRequest{Attempt: "1", Prompt: "p"})
	assert.NilError(t, err)
	<-gate.reached
	assert.NilError(t, client.Cancel(t.Context(), "1"))
	_, _, err = readStream(stream)
	assert.ErrorIs(t, err, endpoint.ErrStreamTruncated)
	assert.Equal(t, engine.Counts().Cancelled, uint64(1))
	assert.Equal(t, engine.Counts().StartedAfterLeave, uint64(1))
}
