package loadreport

import (
	"context"
	"net"

	"github.com/rotisserie/eris"
)

// Listen opens the UDP socket for this package's datagrams at addr (IP:port). It
// is closed when ctx ends.
func Listen(ctx context.Context, addr string) (*net.UDPConn, error) {
	udpAddr, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "resolve datagram address %s", addr)
	}
	conn, err := net.ListenUDP("udp", udpAddr)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for load datagrams on %s", addr)
	}
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	return conn, nil
}
