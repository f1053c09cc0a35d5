package loadreport

import (
	"context"
	"net"

	"github.com/rotisserie/eris"
)

// Listen opens the socket on which asks and reports arrive at addr, an IP
// number and a port. It is closed when ctx ends.
func Listen(ctx context.Context, addr string) (*net.UDPConn, error) {
	at, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "datagram address %s", addr)
	}
	conn, err := net.ListenUDP("udp", at)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for load datagrams on %s", addr)
	}
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	return conn, nil
}
