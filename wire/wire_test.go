package wire

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var testKey = []byte("0123456789abcdef")

func dialTCP(ctx context.Context, network, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, network, addr)
}

func sendPeerName(_ context.Context, s *Session, stream *Stream, _ *StreamHeader) {
	_ = stream.Send(&AgentStatus{Instance: string(s.Peer)})
}

func TestSessionCarriesRequestsBothWays(t *testing.T) {
	opened := make(chan *Session, 1)
	l, err := Listen("127.0.0.1:0", Identity{Instance: "b", FleetKey: testKey}, sendPeerName, func(s *Session) { opened <- s })
	assert.NilError(t, err)
	defer l.Close()
	dialled, err := Dial(t.Context(), dialTCP, l.Addr(), Identity{Instance: "a", FleetKey: testKey}, sendPeerName)
	assert.NilError(t, err)
	defer dialled.Close()
	accepted := <-opened
	request := &StreamHeader{Request: &StreamHeader_Status{Status: &StatusRequest{}}}
	var fromB, fromA AgentStatus
	assert.NilError(t, dialled.Request(t.Context(), request, &fromB))
	assert.NilError(t, accepted.Request(t.Context(), request, &fromA))
	assert.Equal(t, fromB.GetInstance(), "a")
	assert.Equal(t, fromA.GetInstance(), "b")
}

func TestSessionRejectsOtherFleetKey(t *testing.T) {
	l, err := Listen("127.0.0.1:0", Identity{Instance: "b", FleetKey: testKey}, sendPeerName, nil)
	assert.NilError(t, err)
	defer l.Close()
	_, err = Dial(t.Context(), dialTCP, l.Addr(), Identity{Instance: "a", FleetKey: []byte("other")}, sendPeerName)
	var handshake *HandshakeError
	assert.Assert(t, errors.As(err, &handshake))
	assert.Equal(t, len(l.Sessions()), 0)
}

func TestDatagramWithBadTagIsRejected(t *testing.T) {
	raw, err := EncodeDatagram(testKey, &Datagram{Instance: "a", Generation: 7})
	assert.NilError(t, err)
	d, err := DecodeDatagram(testKey, raw)
	assert.NilError(t, err)
	assert.Equal(t, d.GetGeneration(), uint64(7))
	for i := range raw {
		raw[i] ^= 1
		_, err := DecodeDatagram(testKey, raw)
		assert.ErrorIs(t, err, ErrBadTag)
		raw[i] ^= 1
	}
}

func TestOnlyAuthenticDatagramsAreDelivered(t *testing.T) {
	received := make(chan *Datagram, 4)
	addr := freeUDPAddr(t)
	transport, err := ListenDatagrams(addr, testKey, func(d *Datagram) { received <- d })
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	defer transport.Close(ctx)
	conn, err := net.Dial("udp", addr)
	assert.NilError(t, err)
	defer conn.Close()
	_, err = conn.Write([]byte("a datagram without a tag, long enough to hold one"))
	assert.NilError(t, err)
	assert.NilError(t, transport.Send(addr, &Datagram{Instance: "a", Sequence: 1}))
	d := <-received
	assert.Equal(t, d.GetInstance(), "a")
	assert.Equal(t, transport.Counts().Dropped, int64(1))
	assert.Equal(t, transport.Counts().Received, int64(1))
}

func freeUDPAddr(t *testing.T) string {
	t.Helper()
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	defer c.Close()
	return c.LocalAddr().String()
}
