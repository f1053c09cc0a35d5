package wire

import (
	"bufio"
	"net"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// MaxMessageSize limits one message on a stream, in bytes: the largest answer of a plain
// service, 8 MiB, with the fields around it.
const MaxMessageSize = 8<<20 + 64<<10

const streamReadBuffer = 1 << 10 // Bytes.

// Stream carries length-delimited protobuf messages both ways. One goroutine
// may send while another receives.
type Stream struct {
	conn   net.Conn
	reader *bufio.Reader
}

func newStream(conn net.Conn) *Stream {
	return &Stream{conn: conn, reader: bufio.NewReaderSize(conn, streamReadBuffer)}
}

// Send writes one message. It blocks while the peer's receive window is full.
func (s *Stream) Send(m proto.Message) error {
	_, err := protodelim.MarshalTo(s.conn, m)
	return err
}

// Recv reads one message into m. It blocks until a message arrives; if the
// stream ends first, it returns io.EOF or the session's error.
func (s *Stream) Recv(m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: MaxMessageSize}.UnmarshalFrom(s.reader, m)
}

// SetDeadline sets the deadline of later calls; the zero time means none.
func (s *Stream) SetDeadline(t time.Time) error {
	return s.conn.SetDeadline(t)
}

// Close ends the stream in both directions and makes a blocked Recv return.
func (s *Stream) Close() error {
	// conn.Close only ends this side's writes and would leave Recv blocked.
	_ = s.conn.SetReadDeadline(time.Unix(1, 0))
	return s.conn.Close()
}
