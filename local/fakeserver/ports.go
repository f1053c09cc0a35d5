package fakeserver

import (
	"context"
	"io"
	"net"

	"github.com/rotisserie/eris"
)

const (
	anyPort      = "127.0.0.1:0"
	portAttempts = 16
)

// ErrNoPort reports that no port was free for both TCP and UDP.
var ErrNoPort = eris.New("no port is free for both TCP and UDP")

// ports finds loopback ports that are free for TCP and UDP and holds them
// until release, so that none is given twice.
type ports struct {
	held []io.Closer
}

// next returns the address of a free port.
func (p *ports) next(ctx context.Context) (string, error) {
	var config net.ListenConfig
	for range portAttempts {
		tcp, err := config.Listen(ctx, "tcp", anyPort)
		if err != nil {
			return "", eris.Wrap(err, "find a free port")
		}
		p.held = append(p.held, tcp)
		address := tcp.Addr().String()
		udp, err := config.ListenPacket(ctx, "udp", address)
		if err == nil {
			p.held = append(p.held, udp)
			return address, nil
		}
	}
	return "", ErrNoPort
}

func (p *ports) release() {
	for _, held := range p.held {
		_ = held.Close()
	}
	p.held = nil
}
