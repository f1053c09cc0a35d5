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

const (
	firstNetwork = 10
	lastNetwork  = 250
	hostsPerByte = 250
)

// addresses gives out IP numbers of one loopback network.
type addresses struct {
	network *loopback.Network
	given   int
}

func newAddresses(ctx context.Context) (*addresses, error) {
	network, err := loopback.Reserve(ctx, firstNetwork, lastNetwork)
	if err != nil {
		return nil, err
	}
	return &addresses{network: network}, nil
}

// next returns the next IP number.
func (a *addresses) next() string {
	a.given++
	return fmt.Sprintf("127.%d.%d.%d", a.network.Number, 1+a.given/hostsPerByte, 1+a.given%hostsPerByte)
}

func (a *addresses) close() {
	_ = a.network.Close()
}

func address(ip string, port int) string {
	return fmt.Sprintf("%s:%d", ip, port)
}
