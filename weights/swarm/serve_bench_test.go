package swarm

import (
	"bufio"
	"io"
	"net"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/wire"
)

const (
	serveChunkSize        = 256 << 10
	serveRequestsInFlight = 4
	serveModelMB          = 16
)

// BenchmarkServe reads chunks over one loopback connection: from the gnet
// server, from a plain net listener, and as raw bytes without frames.
func BenchmarkServe(b *testing.B) {
	m := newTestModel(b, "1", serveModelMB<<20, serveChunkSize)
	f := newTestFleet(b, m)
	n := f.addNode("a", "r0")
	f.fetchAndVerify(m, n)
	set, _ := n.Set(m.manifest.Digest())
	listener, err := new(net.ListenConfig).Listen(b.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	defer listener.Close()
	go (&plainServer{set: set}).accept(listener)
	b.Run("gnet", func(b *testing.B) { benchmarkServe(b, n.cfg.Self.ChunkAddr, set.Digest(), set.Len()) })
	b.Run("net", func(b *testing.B) { benchmarkServe(b, listener.Addr().String(), set.Digest(), set.Len()) })
	b.Run("bytes", benchmarkBytes)
}

// benchClient is a client that does not verify chunks.
type benchClient struct {
	b             *testing.B
	conn          net.Conn
	reader        *bufio.Reader
	payloadBuffer []byte
}

func (c *benchClient) send(message proto.Message) {
	if err := writeFrame(c.conn, message); err != nil {
		c.b.Fatal(err)
	}
}

func (c *benchClient) receive() *wire.ChunkServerFrame {
	header := make([]byte, frameHeaderSize)
	_, err := io.ReadFull(c.reader, header)
	assert.NilError(c.b, err)
	size, payload, err := decodeFrameHeader(header, maxServerMessageBytes, serveChunkSize)
	assert.NilError(c.b, err)
	data := make([]byte, size)
	_, err = io.ReadFull(c.reader, data)
	assert.NilError(c.b, err)
	_, err = io.ReadFull(c.reader, c.payloadBuffer[:payload])
	assert.NilError(c.b, err)
	message := new(wire.ChunkServerFrame)
	assert.NilError(c.b, proto.Unmarshal(data, message))
	return message
}

func benchmarkServe(b *testing.B, addr string, digest core.Digest, chunks int) {
	conn, err := new(net.Dialer).DialContext(b.Context(), "tcp", addr)
	assert.NilError(b, err)
	defer conn.Close()
	c := &benchClient{b: b, conn: conn, reader: bufio.NewReaderSize(conn, maxReadBytes/2), payloadBuffer: make([]byte, serveChunkSize)}
	nonce := newNonce()
	c.send(&wire.ChunkClientFrame{Frame: &wire.ChunkClientFrame_Hello{Hello: &wire.ChunkHello{
		Instance: "b", Nonce: nonce, Manifest: digest[:],
		Proof: proof(testKey, clientLabel, c.receive().GetChallenge().GetNonce(), nonce, []byte("b"), digest[:]),
	}}})
	for i := range serveRequestsInFlight {
		c.send(requestFrame(i, true, true))
	}
	b.SetBytes(serveChunkSize)
	nextIndex := serveRequestsInFlight
	for b.Loop() {
		data := c.receive().GetData()
		for data == nil {
			data = c.receive().GetData()
		}
		c.send(ackFrame(int(data.Index)))
		c.send(requestFrame(nextIndex%chunks, true, true))
		nextIndex++
	}
}

func benchmarkBytes(b *testing.B) {
	l, err := new(net.ListenConfig).Listen(b.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	defer l.Close()
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		data := make([]byte, serveChunkSize)
		for err == nil {
			_, err = conn.Write(data)
		}
	}()
	conn, err := new(net.Dialer).DialContext(b.Context(), "tcp", l.Addr().String())
	assert.NilError(b, err)
	defer conn.Close()
	buffer := make([]byte, serveChunkSize)
	b.SetBytes(serveChunkSize)
	for b.Loop() {
		if _, err := io.ReadFull(conn, buffer); err != nil {
			b.Fatal(err)
		}
	}
}
