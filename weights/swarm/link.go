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
	// readStep is the largest single read of a payload in bytes.
	readStep = 32 << 10
	// linkQueue is the number of control frames that may wait to be sent.
	linkQueue = 512
)

// link is the client's side of one connection for one transfer.
type link struct {
	transfer *transfer
	peer     Peer
	kind     weights.SourceKind
	watch    bool
	cancel   context.CancelFunc
	out      chan *wire.ChunkClientFrame
	// lastRead is when bytes last arrived, in Unix nanoseconds.
	lastRead atomic.Int64
}

// run connects and handles frames until the connection ends; it then reports
// closedEvent.
func (l *link) run(ctx context.Context) {
	err := l.serve(ctx)
	l.cancel()
	l.transfer.post(closedEvent{link: l, err: err})
}

func (l *link) serve(ctx context.Context) error {
	conn, reader, err := l.connect(ctx)
	if err != nil {
		return err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	go l.write(ctx, conn)
	for {
		message, payload, err := l.read(ctx, reader, l.transfer.set.Manifest().ChunkSize)
		if err != nil {
			return err
		}
		if err := l.handle(message, payload); err != nil {
			return err
		}
	}
}

// connect dials and authenticates both ends.
func (l *link) connect(ctx context.Context) (net.Conn, *bufio.Reader, error) {
	node := l.transfer.node
	dialCtx, cancel := context.WithTimeout(ctx, node.cfg.HandshakeTimeout)
	defer cancel()
	conn, err := node.deps.Dial(dialCtx, "tcp", l.peer.ChunkAddr)
	if err != nil {
		return nil, nil, err
	}
	stop := context.AfterFunc(dialCtx, func() { conn.Close() })
	defer stop()
	reader := bufio.NewReaderSize(conn, readStep/2)
	if err := l.handshake(dialCtx, conn, reader); err != nil {
		conn.Close()
		return nil, nil, err
	}
	return conn, reader, nil
}

func (l *link) handshake(ctx context.Context, conn net.Conn, reader *bufio.Reader) error {
	node := l.transfer.node
	message, _, err := l.read(ctx, reader, 0)
	if err != nil {
		return err
	}
	challenge := message.GetChallenge()
	if challenge == nil || len(challenge.Nonce) != nonceSize {
		return &FrameError{Detail: "no challenge"}
	}
	nonce := newNonce()
	self := string(node.cfg.Self.ID)
	manifest := l.transfer.digest[:]
	hello := &wire.ChunkClientFrame{Frame: &wire.ChunkClientFrame_Hello{Hello: &wire.ChunkHello{
		Instance: self,
		Nonce:    nonce,
		Proof:    proof(node.deps.FleetKey, clientLabel, challenge.Nonce, nonce, []byte(self), manifest),
		Manifest: manifest,
		Watch:    l.watch,
	}}}
	if err := writeFrame(conn, hello); err != nil {
		return err
	}
	message, _, err = l.read(ctx, reader, 0)
	if err != nil {
		return err
	}
	want := proof(node.deps.FleetKey, serverLabel, nonce, challenge.Nonce)
	if !hmac.Equal(want, message.GetWelcome().GetProof()) {
		return ErrNotAuthentic
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

// write sends queued frames until the connection ends.
func (l *link) write(ctx context.Context, conn net.Conn) {
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-l.out:
			l.transfer.node.metrics.controlBytes.Inc(int64(frameHeaderSize + proto.Size(message)))
			if err := writeFrame(conn, message); err != nil {
				conn.Close()
				return
			}
		}
	}
}

// send queues a frame. It never blocks; a full queue closes the link.
func (l *link) send(message *wire.ChunkClientFrame) {
	select {
	case l.out <- message:
	default:
		l.transfer.node.deps.Logger.Warn("closing chunk link", "peer", l.peer.ID, "error", errRequestQueueFull)
		l.cancel()
	}
}

// read reads one frame.
func (l *link) read(ctx context.Context, reader *bufio.Reader, maxPayload int) (*wire.ChunkServerFrame, []byte, error) {
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return nil, nil, err
	}
	l.touch()
	messageSize, payloadSize, err := decodeFrameHeader(header[:], maxServerMessage, maxPayload)
	if err != nil {
		return nil, nil, err
	}
	data := make([]byte, messageSize)
	if _, err := io.ReadFull(reader, data); err != nil {
		return nil, nil, err
	}
	l.transfer.node.metrics.controlBytes.Inc(int64(frameHeaderSize + messageSize))
	message := new(wire.ChunkServerFrame)
	if err := proto.Unmarshal(data, message); err != nil {
		return nil, nil, &FrameError{Detail: err.Error()}
	}
	payload, err := l.readPayload(ctx, reader, payloadSize)
	return message, payload, err
}

// readPayload reads in small steps, so that pacing is even and progress shows.
func (l *link) readPayload(ctx context.Context, reader *bufio.Reader, size int) ([]byte, error) {
	if size == 0 {
		return nil, nil
	}
	payload := make([]byte, size)
	for at := 0; at < size; {
		n, err := reader.Read(payload[at:min(at+readStep, size)])
		if err != nil {
			return nil, err
		}
		at += n
		l.touch()
		if err := l.transfer.node.pace(ctx, n); err != nil {
			return nil, err
		}
		l.touch()
	}
	return payload, nil
}

func (l *link) touch() {
	l.lastRead.Store(time.Now().UnixNano())
}

func (l *link) handle(message *wire.ChunkServerFrame, payload []byte) error {
	switch frame := message.Frame.(type) {
	case *wire.ChunkServerFrame_Data:
		return l.handleData(frame.Data, payload)
	case *wire.ChunkServerFrame_Refusal:
		l.handleRefusal(frame.Refusal)
	case *wire.ChunkServerFrame_Have:
		l.transfer.post(haveEvent{link: l, have: frame.Have})
	case *wire.ChunkServerFrame_Ping:
	default:
		return &FrameError{Detail: "unexpected message"}
	}
	return nil
}

func (l *link) source() weights.Source {
	return weights.Source{Kind: l.kind, Peer: l.peer.ID}
}

func (l *link) handleData(data *wire.ChunkData, payload []byte) error {
	index := int(data.Index)
	if len(payload) != l.transfer.set.Manifest().ChunkLength(index) {
		return &FrameError{Detail: "chunk of wrong length"}
	}
	l.send(ackFrame(index))
	l.transfer.node.countReceived(l.peer, len(payload))
	err := l.transfer.put(index, payload, l.kind)
	var corrupt *weights.CorruptChunkError
	if errors.As(err, &corrupt) {
		l.transfer.post(failedEvent{chunk: index, source: l.source(), failure: weights.FailureCorrupt})
		return nil
	}
	if err != nil {
		return err
	}
	l.transfer.post(storedEvent{chunk: index, source: l.source(), served: int(data.Served)})
	return nil
}

func (l *link) handleRefusal(refusal *wire.ChunkRefusal) {
	failure := weights.FailureRefused
	if refusal.Reason == wire.ChunkRefusalReason_CHUNK_REFUSAL_MISSING {
		failure = weights.FailureMissing
	}
	l.transfer.post(failedEvent{
		chunk:   int(refusal.Index),
		source:  l.source(),
		failure: failure,
		served:  int(refusal.Served),
	})
}
