package swarm

import (
	"io"
	"net"

	"google.golang.org/protobuf/proto"

	"github.com/snipestep/snipestep/weights"
	"github.com/snipestep/snipestep/wire"
)

// plainServer serves the same frames as server with one goroutine for each
// connection and without authentication or limits. BenchmarkServe compares it
// with server.
type plainServer struct {
	set *weights.Set
}

func (s *plainServer) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

func (s *plainServer) serve(conn net.Conn) {
	defer conn.Close()
	if !s.write(conn, challengeFrame(newNonce()), nil) {
		return
	}
	header := make([]byte, frameHeaderSize)
	for {
		if _, err := io.ReadFull(conn, header); err != nil {
			return
		}
		size, _, err := decodeFrameHeader(header, maxClientMessageBytes, 0)
		if err != nil {
			return
		}
		data := make([]byte, size)
		if _, err := io.ReadFull(conn, data); err != nil {
			return
		}
		var message wire.ChunkClientFrame
		if proto.Unmarshal(data, &message) != nil || !s.handle(conn, &message) {
			return
		}
	}
}

func (s *plainServer) handle(conn net.Conn, message *wire.ChunkClientFrame) bool {
	if message.GetHello() != nil {
		return s.write(conn, welcomeFrame(nil), nil)
	}
	request := message.GetRequest()
	if request == nil {
		return true
	}
	data, _ := s.set.Get(int(request.Index))
	return s.write(conn, dataFrame(request.Index, 0), data)
}

func (s *plainServer) write(conn net.Conn, message proto.Message, payload []byte) bool {
	head, err := encodeFrame(message, len(payload))
	if err != nil {
		return false
	}
	buffers := net.Buffers{head, payload}
	_, err = buffers.WriteTo(conn)
	return err == nil
}
