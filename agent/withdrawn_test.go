package agent

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/wire"
)

// heldConn keeps what is written while it is held, as a peer that stands still does.
type heldConn struct {
	net.Conn
	mu   sync.Mutex
	held bool
	kept []byte
}

func (c *heldConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held {
		c.kept = append(c.kept, p...)
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *heldConn) hold() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held = true
}

func (c *heldConn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held = false
	_, _ = c.Conn.Write(c.kept)
	c.kept = nil
}

// Guards against calls that run after their caller has left, at an agent that stood still and reads them
// together with their end.
func TestCallsThatEndedWhileTheAgentStoodStillDoNotRun(t *testing.T) {
	const calls = 200
	f := newFixture(t, 4, 0)
	m := f.addModel("v1")
	f.serveModel(m)
	now := f.agent.pauses.now()
	f.agent.pauses.tick(now) // It may not have ticked yet.
	f.agent.pauses.tick(now.Add(time.Hour))
	conn := &heldConn{}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		var err error
		conn.Conn, err = (&net.Dialer{}).DialContext(ctx, network, addr)
		return conn, err
	}
	session, err := wire.Dial(t.Context(), dial, f.agent.cfg.Instance.SessionAddr,
		wire.Identity{Instance: "e2", FleetKey: testKey}, func(context.Context, *wire.Session, *wire.Stream, *wire.StreamHeader) {})
	assert.NilError(t, err)
	f.session = session
	ran := 0
	for i := range calls {
		conn.hold()
		prompt := fmt.Sprint("left", i)
		f.startCall(m, core.RankUrgent, prompt, 4).Close()
		conn.release()
		prompt = fmt.Sprint("stays", i)
		assert.Assert(t, f.readToEnd(f.startCall(m, core.RankUrgent, prompt, 4), prompt, "v1").GetDone() != nil)
		ran += f.engine.PromptStarts(fmt.Sprint("left", i))
	}
	assert.Equal(t, ran, 0)
}
