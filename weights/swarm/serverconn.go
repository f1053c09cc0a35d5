package swarm

import (
	"time"

	"github.com/panjf2000/gnet/v2"
	"google.golang.org/protobuf/proto"
)

// serverConn is the server's side of one connection, guarded by the server's
// mutex.
type serverConn struct {
	number   uint64
	conn     gnet.Conn
	nonce    []byte
	opened   time.Time
	lastRead time.Time
	serving  *serving // nil before authentication.
	watch    bool
	// announced says that the bitmap was sent.
	announced bool
	soon      []uint32             // Chunks to announce at the next chance.
	later     []uint32             // Chunks to announce after a while.
	running   map[uint32]struct{}  // Uploads without an ack.
	waiting   map[uint32]time.Time // Requests for chunks not held, with deadlines.
	// pacer writes payloads, and all frames behind them; nil for no pace.
	pacer *sendPacer
	paced int // Frames in the pacer.
}

// send queues a message and a payload. It never blocks.
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
	if c.pacer != nil && (len(payload) > 0 || c.paced > 0) {
		c.pacer.add(c, parts)
		return len(head)
	}
	// A closed connection reports through OnClose.
	_ = c.conn.AsyncWritev(parts, nil)
	return len(head)
}
