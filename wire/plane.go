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

// DatagramTransport sends and receives authenticated datagrams over UDP. Received ones go
// to the handler on gnet's event loop, which must not block.
type DatagramTransport struct {
	gnet.BuiltinEventEngine

	key     []byte
	handler func(*Datagram)
	out     *net.UDPConn
	engine  gnet.Engine
	booted  chan struct{}
	failed  chan error

	sent          atomic.Int64
	sentBytes     atomic.Int64
	received      atomic.Int64
	receivedBytes atomic.Int64
	dropped       atomic.Int64
}

// ListenDatagrams receives datagrams on addr until Close. It blocks until the
// socket is bound.
func ListenDatagrams(addr string, key []byte, handler func(*Datagram)) (*DatagramTransport, error) {
	out, err := net.ListenUDP("udp", &net.UDPAddr{})
	if err != nil {
		return nil, eris.Wrap(err, "open the sending socket")
	}
	p := &DatagramTransport{
		key:     key,
		handler: handler,
		out:     out,
		booted:  make(chan struct{}),
		failed:  make(chan error, 1),
	}
	go p.run(addr)
	select {
	case <-p.booted:
		return p, nil
	case err := <-p.failed:
		_ = out.Close()
		return nil, eris.Wrapf(err, "listen for datagrams on %s", addr)
	}
}

func (p *DatagramTransport) run(addr string) {
	quiet := logging.Logger(zap.NewNop().Sugar())
	err := gnet.Run(p, "udp://"+addr, gnet.WithNumEventLoop(1), gnet.WithLogger(quiet))
	p.failed <- err
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

// Send sends a datagram to addr (IP:port). It does not wait for its arrival.
func (p *DatagramTransport) Send(addr string, d *Datagram) error {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return eris.Wrapf(err, "datagram address %q", addr)
	}
	raw, err := EncodeDatagram(p.key, d)
	if err != nil {
		return err
	}
	n, err := p.out.WriteToUDPAddrPort(raw, to)
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

// Counts returns what the plane has sent, received and dropped so far.
func (p *DatagramTransport) Counts() PlaneCounts {
	return PlaneCounts{
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
	_ = p.out.Close()
	return p.engine.Stop(ctx)
}
