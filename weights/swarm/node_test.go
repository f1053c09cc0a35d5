package swarm

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/weights"
	"github.com/snipestep/snipestep/wire"
)

// TestFetchIsShared calls Fetch concurrently, one call with a cancelled context:
// the calls must share a transfer instead of fetching each chunk repeatedly.
func TestFetchIsShared(t *testing.T) {
	m := newTestModel(t, "1", 8*testChunkSize, testChunkSize)
	f := newTestFleet(t, m)
	n := f.addNode("a", "r0")
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	var g errgroup.Group
	for i := range 8 {
		ctx := context.Background()
		if i == 0 {
			ctx = cancelled
		}
		g.Go(func() error {
			_, err := n.Fetch(ctx, m.manifest, f.peers)
			if ctx.Err() != nil {
				return nil
			}
			return err
		})
	}
	assert.NilError(t, g.Wait())
	f.fetchAndVerify(m)
	assert.Check(t, f.origin.servedBytes.Load() <= 2*m.manifest.Size)
}

// TestUnchangedChunksAreNotFetchedAgain fetches a version that differs from the
// stored one in one chunk.
func TestUnchangedChunksAreNotFetchedAgain(t *testing.T) {
	oldModel := newTestModel(t, "1", 8*testChunkSize, testChunkSize)
	newModel := newTestModel(t, "2", 8*testChunkSize, testChunkSize)
	f := newTestFleet(t, oldModel, newModel)
	n := f.addNode("a", "r0")
	f.fetchAndVerify(oldModel, n)
	f.fetchAndVerify(newModel, n)
	assert.Equal(t, f.origin.servedBytes.Load(), int64(9*testChunkSize))
}

func TestDropAndStopEndFetches(t *testing.T) {
	m := newTestModel(t, "1", 8*testChunkSize, testChunkSize)
	f := newTestFleet(t, m)
	n := f.addNode("a", "r0")
	chunkRequested := make(chan struct{}, 64)
	f.origin.chunkError = func(int) error {
		chunkRequested <- struct{}{}
		return io.ErrUnexpectedEOF
	}
	// The store must not complete the set before it is dropped.
	f.store.chunkError = func(int) error { return io.ErrUnexpectedEOF }
	fetchErr := make(chan error, 1)
	fetch := func() {
		_, err := n.Fetch(context.Background(), m.manifest, f.peers)
		fetchErr <- err
	}
	go fetch()
	<-chunkRequested
	n.Drop(m.manifest.Digest())
	assert.ErrorIs(t, <-fetchErr, ErrDropped)
	go fetch()
	<-chunkRequested
	f.stopNode(n)
	assert.ErrorIs(t, <-fetchErr, ErrStopped)
	_, err := n.Fetch(context.Background(), m.manifest, f.peers)
	assert.ErrorIs(t, err, ErrStopped)
}

// dialRaw opens a connection without a handshake and returns the server's nonce.
func dialRaw(t *testing.T, n *testNode) (net.Conn, []byte) {
	t.Helper()
	conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", n.cfg.Self.ChunkAddr)
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	header := make([]byte, frameHeaderSize)
	_, err = io.ReadFull(conn, header)
	assert.NilError(t, err)
	size, _, err := decodeFrameHeader(header, maxServerMessageBytes, 0)
	assert.NilError(t, err)
	data := make([]byte, size)
	_, err = io.ReadFull(conn, data)
	assert.NilError(t, err)
	var message wire.ChunkServerFrame
	assert.NilError(t, proto.Unmarshal(data, &message))
	return conn, message.GetChallenge().GetNonce()
}

// TestBadFramesCloseTheConnection sends malformed or unauthenticated frames.
func TestBadFramesCloseTheConnection(t *testing.T) {
	m := newTestModel(t, "1", 8*testChunkSize, testChunkSize)
	f := newTestFleet(t, m)
	n := f.addNode("a", "r0")
	f.fetchAndVerify(m, n)
	digest := m.manifest.Digest()
	hello := func(key, nonce []byte) []byte {
		clientNonce := newNonce()
		data, err := encodeFrame(&wire.ChunkClientFrame{Frame: &wire.ChunkClientFrame_Hello{Hello: &wire.ChunkHello{
			Instance: "b", Nonce: clientNonce, Manifest: digest[:],
			Proof: proof(key, clientLabel, nonce, clientNonce, []byte("b"), digest[:]),
		}}}, 0)
		assert.NilError(t, err)
		return data
	}
	request := func(index int) []byte {
		data, err := encodeFrame(requestFrame(index, false, false), 0)
		assert.NilError(t, err)
		return data
	}
	cases := map[string]struct {
		counter string
		bytes   func(nonce []byte) []byte
	}{
		"long message":     {faultCounter("malformed"), func([]byte) []byte { return []byte{255, 0, 0, 0, 0, 0, 0, 0} }},
		"payload":          {faultCounter("malformed"), func([]byte) []byte { return []byte{0, 0, 0, 1, 0, 0, 0, 1} }},
		"no protobuf":      {faultCounter("malformed"), func([]byte) []byte { return []byte{0, 0, 0, 1, 0, 0, 0, 0, 255} }},
		"no hello":         {faultCounter("rejected"), func([]byte) []byte { return request(0) }},
		"other key":        {faultCounter("rejected"), func(nonce []byte) []byte { return hello([]byte("x"), nonce) }},
		"replayed nonce":   {faultCounter("rejected"), func([]byte) []byte { return hello(testKey, newNonce()) }},
		"chunk out of set": {faultCounter("malformed"), func(nonce []byte) []byte { return append(hello(testKey, nonce), request(8)...) }},
		"second hello": {faultCounter("malformed"), func(nonce []byte) []byte {
			return append(hello(testKey, nonce), hello(testKey, nonce)...)
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			before := n.counter(c.counter)
			conn, nonce := dialRaw(t, n)
			_, err := conn.Write(c.bytes(nonce))
			assert.NilError(t, err)
			_, _ = io.Copy(io.Discard, conn) // Ends when the server closes.
			assert.Equal(t, n.counter(c.counter), before+1)
		})
	}
}

func TestConfigErrors(t *testing.T) {
	deps := Deps{Origin: &testSource{}, Store: &testSource{}, FleetKey: testKey}
	valid := Config{Self: Peer{ID: "a", ChunkAddr: "127.0.0.1:1"}}
	_, err := NewNode(valid, deps)
	assert.NilError(t, err)
	for field, change := range map[string]func(*Config, *Deps){
		"Self.ID":        func(c *Config, _ *Deps) { c.Self.ID = "" },
		"Self.ChunkAddr": func(c *Config, _ *Deps) { c.Self.ChunkAddr = "" },
		"RateBytes":      func(c *Config, _ *Deps) { c.RateBytes = -1 },
		"MinRateShare":   func(c *Config, _ *Deps) { c.MinRateShare = 2 },
		"Origin":         func(_ *Config, d *Deps) { d.Origin = nil },
		"Store":          func(_ *Config, d *Deps) { d.Store = nil },
		"FleetKey":       func(_ *Config, d *Deps) { d.FleetKey = nil },
	} {
		cfg, d := valid, deps
		change(&cfg, &d)
		_, err := NewNode(cfg, d)
		var configErr *ConfigError
		assert.Check(t, err != nil)
		assert.Assert(t, errors.As(err, &configErr))
		assert.Equal(t, configErr.Field, field)
	}
	_, err = (&Node{}).Fetch(t.Context(), &weights.Manifest{}, nil)
	assert.Check(t, err != nil)
}
