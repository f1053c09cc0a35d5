package entry

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/core"
)

// program is an agent or an entry.
type program interface {
	Run(ctx context.Context) error
	Ready() <-chan struct{}
	Kill()
}

// running is a program of the fleet.
type running struct {
	leave context.CancelFunc // Stops it as planned.
	kill  func()
	ended chan struct{}
}

// run starts a program and blocks until it is ready. It is killed when the
// test ends.
func (f *testFleet) run(id core.InstanceID, p program) {
	f.t.Helper()
	ctx, leave := context.WithCancel(f.ctx)
	r := &running{leave: leave, kill: p.Kill, ended: make(chan struct{})}
	f.running[id] = r
	var failure error
	go func() {
		defer close(r.ended)
		failure = p.Run(ctx)
	}()
	f.t.Cleanup(func() {
		f.killAll()
		<-r.ended
	})
	select {
	case <-p.Ready():
	case <-r.ended:
		f.t.Fatalf("%s did not start: %v", id, failure)
	}
}

func (f *testFleet) killAll() {
	for _, r := range f.running {
		r.kill()
	}
}

// The ports of a test's programs lie below those that the system gives to
// outgoing connections, which could take them meanwhile.
const (
	firstPort   = 12000
	portCount   = 20000
	portsByTest = 997
)

var lastPort atomic.Uint32

// freeAddr returns an address that is free for TCP and UDP, a new one at each
// call.
func (f *testFleet) freeAddr() string {
	f.t.Helper()
	start := uint32(os.Getpid()) * portsByTest
	for range portCount {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+(start+lastPort.Add(1))%portCount)
		if bindable(addr) {
			return addr
		}
	}
	assert.Assert(f.t, false, "no port is free")
	return ""
}

func bindable(addr string) bool {
	tcp, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	defer tcp.Close()
	udp, err := net.ListenPacket("udp", addr)
	if err != nil {
		return false
	}
	udp.Close()
	return true
}
