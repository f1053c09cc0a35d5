package wire

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

// DatagramTransport sends and receives authenticated datagrams over UDP. The
// handler runs on gnet's event loop and must not block.
type DatagramTransport struct {
	gnet.BuiltinEventEngine

	key      []byte
	handler  func(*Datagram)
	sendConn *net.UDPConn
	engine   gnet.Engine
	booted   chan struct{}
	runErr   chan error

	sent          atomic.Int64
	sentBytes     atomic.Int64
	received      atomic.Int64
	receivedBytes atomic.Int64
	dropped       atomic.Int64
}

// ListenDatagrams receives datagrams on addr until Close. It returns once the
// socket is bound.
func ListenDatagrams(addr string, key []byte, handler func(*Datagram)) (*DatagramTransport, error) {
	sendConn, err := net.ListenUDP("udp", &net.UDPAddr{})
	if err != nil {
		return nil, eris.Wrap(err, "open the sending socket")
	}
	transport := &DatagramTransport{
		key:      key,
		handler:  handler,
		sendConn: sendConn,
		booted:   make(chan struct{}),
		runErr:   make(chan error, 1),
	}
	go transport.run(addr)
	select {
	case <-transport.booted:
		return transport, nil
	case err := <-transport.runErr:
		_ = sendConn.Close()
		return nil, eris.Wrapf(err, "listen for datagrams on %s", addr)
	}
}

func (t *DatagramTransport) run(addr string) {
	nopLogger := logging.Logger(zap.NewNop().Sugar())
	err := gnet.Run(t, "udp://"+addr, gnet.WithNumEventLoop(1), gnet.WithLogger(nopLogger))
	t.runErr <- err
}

// OnBoot implements gnet.EventHandler.
func (t *DatagramTransport) OnBoot(e gnet.Engine) gnet.Action {
	t.engine = e
	close(t.booted)
	return gnet.None
}

// OnTraffic implements gnet.EventHandler. It drops and counts datagrams that
// fail authentication.
func (t *DatagramTransport) OnTraffic(c gnet.Conn) gnet.Action {
	raw, err := c.Next(-1)
	if err != nil {
		t.dropped.Add(1)
		return gnet.None
	}
	d, err := DecodeDatagram(t.key, raw)
	if err != nil {
		t.dropped.Add(1)
		return gnet.None
	}
	t.received.Add(1)
	t.receivedBytes.Add(int64(len(raw)))
	t.handler(d)
	return gnet.None
}

// Send sends a datagram to addr (IP:port) and does not wait for its arrival.
func (t *DatagramTransport) Send(addr string, d *Datagram) error {
	dst, err := netip.ParseAddrPort(addr)
	if err != nil {
		return eris.Wrapf(err, "datagram address %q", addr)
	}
	raw, err := EncodeDatagram(t.key, d)
	if err != nil {
		return err
	}
	n, err := t.sendConn.WriteToUDPAddrPort(raw, dst)
	t.sentBytes.Add(int64(n))
	if err == nil {
		t.sent.Add(1)
	}
	return err
}

// SentBytes returns the bytes sent so far.
func (t *DatagramTransport) SentBytes() int64 {
	return t.sentBytes.Load()
}

// Counts returns the numbers of datagrams and bytes so far.
func (t *DatagramTransport) Counts() DatagramCounts {
	return DatagramCounts{
		Sent:          t.sent.Load(),
		SentBytes:     t.sentBytes.Load(),
		Received:      t.received.Load(),
		ReceivedBytes: t.receivedBytes.Load(),
		Dropped:       t.dropped.Load(),
	}
}

// Dropped returns the number of datagrams that failed authentication.
func (t *DatagramTransport) Dropped() int64 {
	return t.dropped.Load()
}

// Close stops receiving and sending.
func (t *DatagramTransport) Close(ctx context.Context) error {
	_ = t.sendConn.Close()
	return t.engine.Stop(ctx)
}
