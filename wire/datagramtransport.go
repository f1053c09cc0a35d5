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

// DatagramTransport sends and receives authenticated datagrams over UDP. The handler runs
// on gnet's event loop and must not block.
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
	p := &DatagramTransport{
		key:      key,
		handler:  handler,
		sendConn: sendConn,
		booted:   make(chan struct{}),
		runErr:   make(chan error, 1),
	}
	go p.run(addr)
	select {
	case <-p.booted:
		return p, nil
	case err := <-p.runErr:
		_ = sendConn.Close()
		return nil, eris.Wrapf(err, "listen for datagrams on %s", addr)
	}
}

func (p *DatagramTransport) run(addr string) {
	nopLogger := logging.Logger(zap.NewNop().Sugar())
	err := gnet.Run(p, "udp://"+addr, gnet.WithNumEventLoop(1), gnet.WithLogger(nopLogger))
	p.runErr <- err
}

// OnBoot implements gnet.EventHandler.
func (p *DatagramTransport) OnBoot(e gnet.Engine) gnet.Action {
	p.engine = e
	close(p.booted)
	return gnet.None
}

// OnTraffic implements gnet.EventHandler. It drops and counts datagrams that
// fail authentication.
func (p *DatagramTransport) OnTraffic(c gnet.Conn) gnet.Action {
	raw, err := c.Next(-1)
	if err != nil {
		p.dropped.Add(1)
		return gnet.None
	}
	d, err := DecodeDatagram(p.key, raw)
	if err != nil {
		p.dropped.Add(1)
		return gnet.None
	}
	p.received.Add(1)
	p.receivedBytes.Add(int64(len(raw)))
	p.handler(d)
	return gnet.None
}

// Send sends a datagram to addr (IP:port) and does not wait for its arrival.
func (p *DatagramTransport) Send(addr string, d *Datagram) error {
	dst, err := netip.ParseAddrPort(addr)
	if err != nil {
		return eris.Wrapf(err, "datagram address %q", addr)
	}
	raw, err := EncodeDatagram(p.key, d)
	if err != nil {
		return err
	}
	n, err := p.sendConn.WriteToUDPAddrPort(raw, dst)
	p.sentBytes.Add(int64(n))
	if err == nil {
		p.sent.Add(1)
	}
	return err
}

// SentBytes returns the bytes sent so far.
func (p *DatagramTransport) SentBytes() int64 {
	return p.sentBytes.Load()
}

// Counts returns the numbers of datagrams and bytes so far.
func (p *DatagramTransport) Counts() DatagramCounts {
	return DatagramCounts{
		Sent:          p.sent.Load(),
		SentBytes:     p.sentBytes.Load(),
		Received:      p.received.Load(),
		ReceivedBytes: p.receivedBytes.Load(),
		Dropped:       p.dropped.Load(),
	}
}

// Dropped returns the number of datagrams that failed authentication.
func (p *DatagramTransport) Dropped() int64 {
	return p.dropped.Load()
}

// Close stops receiving and sending.
func (p *DatagramTransport) Close(ctx context.Context) error {
	_ = p.sendConn.Close()
	return p.engine.Stop(ctx)
}
