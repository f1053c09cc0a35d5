package swarm

import (
	"bufio"
	"context"
	"crypto/hmac"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/snipestep/snipestep/weights"
	"github.com/snipestep/snipestep/wire"
)

const (
	// maxReadBytes limits a single read of a payload.
	maxReadBytes = 32 << 10
	// maxQueuedFrames is the capacity of a connection's send queue.
	maxQueuedFrames = 512
)

// clientConn is the client side of one connection of one transfer.
type clientConn struct {
	transfer  *transfer
	peer      Peer
	kind      weights.SourceKind
	watch     bool
	cancel    context.CancelFunc
	sendQueue chan *wire.ChunkClientFrame
	// lastReadNanos is the Unix time of the last received bytes.
	lastReadNanos atomic.Int64
}

// run connects and handles frames until the connection ends; it then posts a
// closedEvent.
func (c *clientConn) run(ctx context.Context) {
	err := c.exchangeFrames(ctx)
	c.cancel()
	c.transfer.post(closedEvent{conn: c, err: err})
}

func (c *clientConn) exchangeFrames(ctx context.Context) error {
	conn, reader, err := c.connect(ctx)
	if err != nil {
		return err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	go c.writeFrames(ctx, conn)
	for {
		message, payload, err := c.readFrame(ctx, reader, c.transfer.set.Manifest().ChunkSize)
		if err != nil {
			return err
		}
		if err := c.handleFrame(message, payload); err != nil {
			return err
		}
	}
}

// connect dials the peer and authenticates both sides.
func (c *clientConn) connect(ctx context.Context) (net.Conn, *bufio.Reader, error) {
	node := c.transfer.node
	dialCtx, cancel := context.WithTimeout(ctx, node.cfg.HandshakeTimeout)
	defer cancel()
	conn, err := node.deps.Dial(dialCtx, "tcp", c.peer.ChunkAddr)
	if err != nil {
		return nil, nil, err
	}
	stop := context.AfterFunc(dialCtx, func() { conn.Close() })
	defer stop()
	reader := bufio.NewReaderSize(conn, maxReadBytes/2)
	if err := c.handshake(dialCtx, conn, reader); err != nil {
		conn.Close()
		return nil, nil, err
	}
	return conn, reader, nil
}

func (c *clientConn) handshake(ctx context.Context, conn net.Conn, reader *bufio.Reader) error {
	node := c.transfer.node
	message, _, err := c.readFrame(ctx, reader, 0)
	if err != nil {
		return err
	}
	challenge := message.GetChallenge()
	if challenge == nil || len(challenge.Nonce) != nonceSize {
		return &FrameError{Detail: "first message is not a valid challenge"}
	}
	nonce := newNonce()
	instance := string(node.cfg.Self.ID)
	manifest := c.transfer.digest[:]
	hello := &wire.ChunkClientFrame{Frame: &wire.ChunkClientFrame_Hello{Hello: &wire.ChunkHello{
		Instance: instance,
		Nonce:    nonce,
		Proof:    proof(node.deps.FleetKey, clientLabel, challenge.Nonce, nonce, []byte(instance), manifest),
		Manifest: manifest,
		Watch:    c.watch,
	}}}
	if err := writeFrame(conn, hello); err != nil {
		return err
	}
	message, _, err = c.readFrame(ctx, reader, 0)
	if err != nil {
		return err
	}
	wantProof := proof(node.deps.FleetKey, serverLabel, nonce, challenge.Nonce)
	if !hmac.Equal(wantProof, message.GetWelcome().GetProof()) {
		return ErrAuthenticationFailed
	}
	return nil
}

func writeFrame(conn net.Conn, message proto.Message) error {
	data, err := encodeFrame(message, 0)
	if err != nil {
		return err
	}
	_, err = conn.Write(data)
	return err
}

// writeFrames sends queued frames until the connection ends.
func (c *clientConn) writeFrames(ctx context.Context, conn net.Conn) {
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-c.sendQueue:
			c.transfer.node.metrics.controlBytes.Inc(int64(frameHeaderSize + proto.Size(message)))
			if err := writeFrame(conn, message); err != nil {
				conn.Close()
				return
			}
		}
	}
}

// send queues a frame. It never blocks; a full queue closes the connection.
func (c *clientConn) send(message *wire.ChunkClientFrame) {
	select {
	case c.sendQueue <- message:
	default:
		c.transfer.node.deps.Logger.Warn("closing connection to chunk peer", "peer", c.peer.ID, "error", errSendQueueFull)
		c.cancel()
	}
}

func (c *clientConn) readFrame(ctx context.Context, reader *bufio.Reader, maxPayload int) (*wire.ChunkServerFrame, []byte, error) {
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return nil, nil, err
	}
	c.recordRead()
	messageSize, payloadSize, err := decodeFrameHeader(header[:], maxServerMessageBytes, maxPayload)
	if err != nil {
		return nil, nil, err
	}
	data := make([]byte, messageSize)
	if _, err := io.ReadFull(reader, data); err != nil {
		return nil, nil, err
	}
	c.transfer.node.metrics.controlBytes.Inc(int64(frameHeaderSize + messageSize))
	message := new(wire.ChunkServerFrame)
	if err := proto.Unmarshal(data, message); err != nil {
		return nil, nil, &FrameError{Detail: err.Error()}
	}
	payload, err := c.readPayload(ctx, reader, payloadSize)
	return message, payload, err
}

// readPayload reads in small steps, which keeps the pacing even and records
// progress for the stall check.
func (c *clientConn) readPayload(ctx context.Context, reader *bufio.Reader, size int) ([]byte, error) {
	if size == 0 {
		return nil, nil
	}
	payload := make([]byte, size)
	for offset := 0; offset < size; {
		n, err := reader.Read(payload[offset:min(offset+maxReadBytes, size)])
		if err != nil {
			return nil, err
		}
		offset += n
		c.recordRead()
		if err := c.transfer.node.paceReceive(ctx, n); err != nil {
			return nil, err
		}
		c.recordRead()
	}
	return payload, nil
}

func (c *clientConn) recordRead() {
	c.lastReadNanos.Store(time.Now().UnixNano())
}

func (c *clientConn) handleFrame(message *wire.ChunkServerFrame, payload []byte) error {
	switch frame := message.Frame.(type) {
	case *wire.ChunkServerFrame_Data:
		return c.handleData(frame.Data, payload)
	case *wire.ChunkServerFrame_Refusal:
		c.handleRefusal(frame.Refusal)
	case *wire.ChunkServerFrame_Have:
		c.transfer.post(haveEvent{conn: c, have: frame.Have})
	case *wire.ChunkServerFrame_Ping:
	default:
		return &FrameError{Detail: "unexpected message"}
	}
	return nil
}

func (c *clientConn) source() weights.Source {
	return weights.Source{Kind: c.kind, Peer: c.peer.ID}
}

func (c *clientConn) handleData(data *wire.ChunkData, payload []byte) error {
	index := int(data.Index)
	if len(payload) != c.transfer.set.Manifest().ChunkLength(index) {
		return &FrameError{Detail: "chunk has the wrong length"}
	}
	c.send(ackFrame(index))
	c.transfer.node.countReceived(c.peer, len(payload))
	err := c.transfer.storeChunk(index, payload, c.kind)
	var corrupt *weights.CorruptChunkError
	if errors.As(err, &corrupt) {
		c.transfer.post(failedEvent{chunk: index, source: c.source(), failure: weights.FailureCorrupt})
		return nil
	}
	if err != nil {
		return err
	}
	c.transfer.post(storedEvent{chunk: index, source: c.source(), served: int(data.Served)})
	return nil
}

func (c *clientConn) handleRefusal(refusal *wire.ChunkRefusal) {
	failure := weights.FailureRefused
	if refusal.Reason == wire.ChunkRefusalReason_CHUNK_REFUSAL_MISSING {
		failure = weights.FailureMissing
	}
	c.transfer.post(failedEvent{
		chunk:   int(refusal.Index),
		source:  c.source(),
		failure: failure,
		served:  int(refusal.Served),
	})
}
