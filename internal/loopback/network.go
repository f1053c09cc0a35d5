package loopback

import (
	"context"
	"fmt"
	"net"

	"github.com/rotisserie/eris"
)

const lockPort = 7399

// ErrNoNetwork reports that no loopback network of the range can be reserved,
// usually because other runs hold them all.
var ErrNoNetwork = eris.New("no loopback network 127.x.0.0/16 is free")

// Network is the loopback network 127.Number.0.0/16. Its listener keeps other
// processes from reserving it until it is closed.
type Network struct {
	Number int
	lock   net.Listener
}

// Reserve returns the first free network from first to last, or ErrNoNetwork.
func Reserve(ctx context.Context, first, last int) (*Network, error) {
	var config net.ListenConfig
	for number := first; number <= last; number++ {
		lock, err := config.Listen(ctx, "tcp", fmt.Sprintf("127.%d.0.1:%d", number, lockPort))
		if err == nil {
			return &Network{Number: number, lock: lock}, nil
		}
	}
	return nil, ErrNoNetwork
}

// Close releases the network.
func (n *Network) Close() error {
	return n.lock.Close()
}
