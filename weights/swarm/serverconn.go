package swarm

import (
	"time"

	"github.com/panjf2000/gnet/v2"
	"google.golang.org/protobuf/proto"
)

// serverConn is the server side of one connection, guarded by the server's
// mutex.
type serverConn struct {
	id              uint64
	conn            gnet.Conn
	nonce           []byte
	openedAt        time.Time
	lastFrameAt     time.Time
	manifest        *servedManifest // nil before authentication.
	watch           bool
	bitmapSent      bool
	earlyIndexes    []uint32             // Chunks to announce after HaveInterval.
	delayedIndexes  []uint32             // Chunks to announce after HaveDelay.
	activeUploads   map[uint32]struct{}  // Chunks sent and not acknowledged yet.
	pendingRequests map[uint32]time.Time // Deadlines of requests for chunks that are not stored yet.
	// sendPacer writes payloads and the frames queued behind them; nil means no
	// pacing.
	sendPacer   *sendPacer
	pacedFrames int // Frames that sendPacer has queued or is writing.
}

// send queues a message and a payload and returns the size of the frame without
// its payload. It never blocks.
func (c *serverConn) send(message proto.Message, payload []byte) int {
	head, err := encodeFrame(message, len(payload))
	if err != nil {
		_ = c.conn.Close()
		return 0
	}
	parts := [][]byte{head}
	if len(payload) > 0 {
		parts = append(parts, payload)
	}
	if c.sendPacer != nil && (len(payload) > 0 || c.pacedFrames > 0) {
		c.sendPacer.enqueue(c, parts)
		return len(head)
	}
	// gnet reports a closed connection through OnClose.
	_ = c.conn.AsyncWritev(parts, nil)
	return len(head)
}
