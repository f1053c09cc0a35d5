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

// runningProgram is a program that start has started.
type runningProgram struct {
	stop  context.CancelFunc // Shuts it down gracefully.
	kill  func()
	ended chan struct{}
}

// start runs a program and blocks until it is ready. The program is killed when
// the test ends.
func (f *testFleet) start(id core.InstanceID, p program) {
	f.t.Helper()
	ctx, stop := context.WithCancel(f.ctx)
	r := &runningProgram{stop: stop, kill: p.Kill, ended: make(chan struct{})}
	f.programs[id] = r
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
	for _, r := range f.programs {
		r.kill()
	}
}

// The ports of a test's programs are below the ephemeral range, so that outgoing
// connections cannot take them before they are bound.
const (
	firstPort       = 12000
	portCount       = 20000
	portsPerProcess = 997
)

var lastPort atomic.Uint32

// freeAddr returns an address that is free for TCP and UDP, a different one for
// each call.
func (f *testFleet) freeAddr() string {
	f.t.Helper()
	start := uint32(os.Getpid()) * portsPerProcess
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
