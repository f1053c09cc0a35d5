package wire

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// waitForClose blocks until the other side closes the connection.
func waitForClose(t *testing.T, conn net.Conn) {
	t.Helper()
	_, err := io.Copy(io.Discard, conn)
	assert.Check(t, err == nil || !isTimeout(err), "connection still open")
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// startListener returns a listener whose sessions answer every stream with an
// AgentStatus.
func startListener(t *testing.T) (*Listener, *ProtocolFaults) {
	t.Helper()
	faults := &ProtocolFaults{}
	l, err := Listen("127.0.0.1:0", Identity{Instance: "b", FleetKey: testKey, Faults: faults}, sendPeerName, nil)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l, faults
}

// assertAcceptsPeer checks that the listener still serves a peer with the
// fleet key.
func assertAcceptsPeer(t *testing.T, l *Listener) {
	t.Helper()
	s, err := Dial(t.Context(), dialTCP, l.Addr(), Identity{Instance: "a", FleetKey: testKey}, sendPeerName)
	assert.NilError(t, err)
	defer s.Close()
	var status AgentStatus
	assert.NilError(t, s.Request(t.Context(), &StreamHeader{}, &status))
	assert.Equal(t, status.GetInstance(), "a")
}

func TestGarbageBeforeTheHandshakeIsDroppedAndCounted(t *testing.T) {
	l, faults := startListener(t)
	oversized := binary.AppendUvarint(nil, maxHelloSize+1)
	for i, garbage := range [][]byte{[]byte("GET / HTTP/1.1\r\n\r\n"), oversized, {0xff, 0xff, 0xff}} {
		conn, err := dialTCP(t.Context(), "tcp", l.Addr())
		assert.NilError(t, err)
		_, err = conn.Write(garbage)
		assert.NilError(t, err)
		assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
		waitForClose(t, conn)
		assert.NilError(t, conn.Close())
		assertAcceptsPeer(t, l)
		assert.Equal(t, faults.RejectedSessions(), int64(i+1))
	}
}

// dialWithHandshake returns a connection after its handshake and before
// multiplexing.
func dialWithHandshake(t *testing.T, l *Listener) net.Conn {
	t.Helper()
	conn, err := dialTCP(t.Context(), "tcp", l.Addr())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = handshake(conn, Identity{Instance: "a", FleetKey: testKey}, true)
	assert.NilError(t, err)
	return conn
}

func TestGarbageAfterTheHandshakeEndsTheSession(t *testing.T) {
	l, _ := startListener(t)
	conn := dialWithHandshake(t, l)
	_, err := conn.Write([]byte("neither a frame of the multiplexing nor anything else"))
	assert.NilError(t, err)
	waitForClose(t, conn)
	assertAcceptsPeer(t, l)
}

func TestBadStreamHeaderClosesOnlyItsStream(t *testing.T) {
	l, faults := startListener(t)
	mux, err := newMux(dialWithHandshake(t, l), true)
	assert.NilError(t, err)
	defer mux.Close()
	oversized := binary.AppendUvarint(nil, MaxMessageSize+1)
	malformed := append(binary.AppendUvarint(nil, 3), 0xff, 0xff, 0xff)
	for i, garbage := range [][]byte{oversized, malformed} {
		stream, err := mux.OpenStream()
		assert.NilError(t, err)
		_, err = stream.Write(garbage)
		assert.NilError(t, err)
		waitForClose(t, stream)
		assert.Equal(t, faults.RejectedStreams(), int64(i+1))
	}
	stream, err := mux.OpenStream()
	assert.NilError(t, err)
	valid := newStream(stream)
	assert.NilError(t, valid.Send(&StreamHeader{}))
	var status AgentStatus
	assert.NilError(t, valid.Recv(&status))
	assert.Equal(t, status.GetInstance(), "a")
}

func TestSilentConnectionIsClosedAtTheTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		serverConn, clientConn := net.Pipe()
		result := make(chan error, 1)
		go func() {
			_, err := newSession(serverConn, Identity{Instance: "b", FleetKey: testKey}, false, sendPeerName)
			result <- err
		}()
		go func() { _, _ = io.Copy(io.Discard, clientConn) }()
		start := time.Now()
		err := <-result
		assert.Check(t, err != nil)
		assert.Equal(t, time.Since(start), handshakeTimeout)
		assert.NilError(t, clientConn.Close())
	})
}

func TestConnectionOverHandshakeLimitIsClosed(t *testing.T) {
	l, faults := startListener(t)
	for range maxConcurrentHandshakes {
		l.handshakeSlots <- struct{}{}
	}
	conn, err := dialTCP(t.Context(), "tcp", l.Addr())
	assert.NilError(t, err)
	defer conn.Close()
	waitForClose(t, conn)
	assert.Equal(t, faults.RejectedSessions(), int64(1))
	for range maxConcurrentHandshakes {
		<-l.handshakeSlots
	}
	assertAcceptsPeer(t, l)
}

func FuzzDatagram(f *testing.F) {
	raw, err := EncodeDatagram(testKey, &Datagram{Instance: "a", Generation: 7})
	assert.NilError(f, err)
	f.Add(raw)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := DecodeDatagram(testKey, data)
		assert.Check(t, (d == nil) == (err != nil))
	})
}
