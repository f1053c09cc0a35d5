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

// awaitClosed reads until the other side closes the connection.
func awaitClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	_, err := io.Copy(io.Discard, conn)
	assert.Check(t, err == nil || !isTimeout(err), "connection still open")
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// listenWithFaults returns a listener whose sessions answer status requests.
func listenWithFaults(t *testing.T) (*Listener, *ProtocolFaults) {
	t.Helper()
	faults := &ProtocolFaults{}
	l, err := Listen("127.0.0.1:0", Identity{Instance: "b", FleetKey: testKey, Faults: faults}, echoStatus, nil)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l, faults
}

// assertServes checks that the listener still serves a proper peer.
func assertServes(t *testing.T, l *Listener) {
	t.Helper()
	s, err := Dial(t.Context(), plainDial, l.Addr(), Identity{Instance: "a", FleetKey: testKey}, echoStatus)
	assert.NilError(t, err)
	defer s.Close()
	var answer AgentStatus
	assert.NilError(t, s.Request(t.Context(), &StreamHeader{}, &answer))
	assert.Equal(t, answer.GetInstance(), "a")
}

func TestGarbageBeforeTheHandshakeIsDroppedAndCounted(t *testing.T) {
	l, faults := listenWithFaults(t)
	oversized := binary.AppendUvarint(nil, maxHelloSize+1)
	for i, garbage := range [][]byte{[]byte("GET / HTTP/1.1\r\n\r\n"), oversized, {0xff, 0xff, 0xff}} {
		conn, err := plainDial(t.Context(), "tcp", l.Addr())
		assert.NilError(t, err)
		_, err = conn.Write(garbage)
		assert.NilError(t, err)
		assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
		awaitClosed(t, conn)
		assert.NilError(t, conn.Close())
		assertServes(t, l)
		assert.Equal(t, faults.RejectedSessions(), int64(i+1))
	}
}

// handshaken returns a connection that passed the handshake, below its
// multiplexing.
func handshaken(t *testing.T, l *Listener) net.Conn {
	t.Helper()
	conn, err := plainDial(t.Context(), "tcp", l.Addr())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = handshake(conn, Identity{Instance: "a", FleetKey: testKey}, true)
	assert.NilError(t, err)
	return conn
}

func TestGarbageAfterTheHandshakeEndsTheSession(t *testing.T) {
	l, _ := listenWithFaults(t)
	conn := handshaken(t, l)
	_, err := conn.Write([]byte("neither a frame of the multiplexing nor anything else"))
	assert.NilError(t, err)
	awaitClosed(t, conn)
	assertServes(t, l)
}

func TestBadStreamHeaderClosesOnlyItsStream(t *testing.T) {
	l, faults := listenWithFaults(t)
	mux, err := newMux(handshaken(t, l), true)
	assert.NilError(t, err)
	defer mux.Close()
	oversized := binary.AppendUvarint(nil, MaxMessageSize+1)
	malformed := append(binary.AppendUvarint(nil, 3), 0xff, 0xff, 0xff)
	for i, garbage := range [][]byte{oversized, malformed} {
		stream, err := mux.OpenStream()
		assert.NilError(t, err)
		_, err = stream.Write(garbage)
		assert.NilError(t, err)
		awaitClosed(t, stream)
		assert.Equal(t, faults.RejectedStreams(), int64(i+1))
	}
	stream, err := mux.OpenStream()
	assert.NilError(t, err)
	proper := newStream(stream)
	assert.NilError(t, proper.Send(&StreamHeader{}))
	var answer AgentStatus
	assert.NilError(t, proper.Recv(&answer))
	assert.Equal(t, answer.GetInstance(), "a")
}

func TestSilentConnectionIsClosedAtTheTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ours, theirs := net.Pipe()
		ended := make(chan error, 1)
		go func() {
			_, err := newSession(ours, Identity{Instance: "b", FleetKey: testKey}, false, echoStatus)
			ended <- err
		}()
		go func() { _, _ = io.Copy(io.Discard, theirs) }()
		began := time.Now()
		err := <-ended
		assert.Check(t, err != nil)
		assert.Equal(t, time.Since(began), handshakeTimeout)
		assert.NilError(t, theirs.Close())
	})
}

func TestTooManyHandshakesAtOnceAreClosed(t *testing.T) {
	l, faults := listenWithFaults(t)
	for range maxHandshakes {
		l.handshakes <- struct{}{}
	}
	conn, err := plainDial(t.Context(), "tcp", l.Addr())
	assert.NilError(t, err)
	defer conn.Close()
	awaitClosed(t, conn)
	assert.Equal(t, faults.RejectedSessions(), int64(1))
	for range maxHandshakes {
		<-l.handshakes
	}
	assertServes(t, l)
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
