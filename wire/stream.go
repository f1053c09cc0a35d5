package wire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/snipestep/snipestep/internal/heldbytes"
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

// Ended reports whether the peer has closed the stream and all that it sent was read. It does not wait,
// and is not called while another goroutine receives.
func (s *Stream) Ended() bool {
	if s.conn.SetReadDeadline(time.Unix(1, 0)) != nil {
		return true
	}
	_, err := s.reader.Peek(1)
	return s.conn.SetReadDeadline(time.Time{}) != nil || (err != nil && !errors.Is(err, yamux.ErrTimeout))
}

// RecvHeld is Recv for a message with a part of an answer. Room is taken as its bytes arrive, not by its
// declared length, and for the decoded copy, whose size stays counted in held. Without room it
// returns heldbytes.ErrNoRoom, and the stream cannot be read any further.
func (s *Stream) RecvHeld(m proto.Message, held *heldbytes.Held) error {
	size, err := binary.ReadUvarint(s.reader)
	if err != nil {
		return held.Cause(err)
	}
	if size > MaxMessageSize {
		return &protodelim.SizeTooLargeError{Size: size, MaxSize: MaxMessageSize}
	}
	if size <= streamReadBuffer {
		return s.recvBuffered(m, int(size), held)
	}
	data, err := heldbytes.ReadAll(io.LimitReader(s.reader, int64(size)), held)
	if err == nil && len(data) < int(size) {
		err = io.ErrUnexpectedEOF
	}
	if err == nil {
		err = held.AddBytes(int(size))
	}
	if err != nil {
		return held.Cause(err)
	}
	if err := proto.Unmarshal(data, m); err != nil {
		return err
	}
	return held.AddBytes(-cap(data))
}

// recvBuffered reads a message that fits into the reader's buffer.
func (s *Stream) recvBuffered(m proto.Message, size int, held *heldbytes.Held) error {
	data, err := s.reader.Peek(size)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err == nil {
		err = held.AddBytes(size)
	}
	if err != nil {
		return held.Cause(err)
	}
	if err := proto.Unmarshal(data, m); err != nil {
		return err
	}
	_, err = s.reader.Discard(size)
	return err
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
