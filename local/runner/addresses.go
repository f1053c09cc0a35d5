package runner

import (
	"context"
	"fmt"
	"net"

	"github.com/rotisserie/eris"
)

// The ports of each instance.
const (
	sessionPort  = 7400
	datagramPort = 7401
	chunkPort    = 7402
	httpPort     = 8080
	lockPort     = 7399
)

const (
	firstNetwork = 10
	lastNetwork  = 250
	hostsPerByte = 250
)

// ErrNoNetwork reports that other runs hold every loopback network.
var ErrNoNetwork = eris.New("no loopback network 127.x.0.0/16 is free")

// addresses gives out IP numbers of one loopback network. Holding a lock port
// keeps other runs away from it.
type addresses struct {
	lock    net.Listener
	network int
	given   int
}

func newAddresses(ctx context.Context) (*addresses, error) {
	var config net.ListenConfig
	for network := firstNetwork; network <= lastNetwork; network++ {
		lock, err := config.Listen(ctx, "tcp", fmt.Sprintf("127.%d.0.1:%d", network, lockPort))
		if err == nil {
			return &addresses{lock: lock, network: network}, nil
		}
	}
	return nil, ErrNoNetwork
}

// next returns the next IP number.
func (a *addresses) next() string {
	a.given++
	return fmt.Sprintf("127.%d.%d.%d", a.network, 1+a.given/hostsPerByte, 1+a.given%hostsPerByte)
}

func (a *addresses) close() {
	_ = a.lock.Close()
}

func address(ip string, port int) string {
	return fmt.Sprintf("%s:%d", ip, port)
}
