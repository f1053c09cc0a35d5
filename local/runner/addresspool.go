package runner

import (
	"context"
	"fmt"

	"github.com/snipestep/snipestep/internal/loopback"
)

// The ports of each instance.
const (
	sessionPort  = 7400
	datagramPort = 7401
	chunkPort    = 7402
	httpPort     = 8080
)

// Range of the network numbers, the second byte of 127.NETWORK.x.y, and the number of
// addresses used for each value of the third byte.
const (
	firstNetwork  = 10
	lastNetwork   = 250
	hostsPerOctet = 250
)

// addressPool allocates IP addresses of one loopback network.
type addressPool struct {
	network   *loopback.Network
	allocated int
}

func newAddressPool(ctx context.Context) (*addressPool, error) {
	network, err := loopback.Reserve(ctx, firstNetwork, lastNetwork)
	if err != nil {
		return nil, err
	}
	return &addressPool{network: network}, nil
}

// next allocates an IP address.
func (a *addressPool) next() string {
	a.allocated++
	return fmt.Sprintf("127.%d.%d.%d", a.network.Number, 1+a.allocated/hostsPerOctet, 1+a.allocated%hostsPerOctet)
}

func (a *addressPool) close() {
	_ = a.network.Close()
}

func address(ip string, port int) string {
	return fmt.Sprintf("%s:%d", ip, port)
}
