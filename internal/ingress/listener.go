package ingress

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// fallbackMaxConns bounds the connections of a process without a limit of descriptors.
const fallbackMaxConns = 16 << 10

// ErrMemory reports a request that may not be served since callers hold too much memory. It has not
// been passed on.
var ErrMemory = eris.New("callers hold too much memory")

// Listener accepts connections of callers and bounds what they hold. The server that it belongs to
// calls ConnState and ConnContext. It is safe for concurrent use.
type Listener struct {
	net.Listener
	config Config

	// mu guards the fields below and those of all connections. Under it only read deadlines of
	// connections are set, which does not block.
	mu sync.Mutex
	// released is signalled when a connection has released its charge.
	released  *sync.Cond
	conns     map[*Conn]bool
	total     int
	lingering int
}

// NewListener wraps a listener.
func NewListener(inner net.Listener, config Config) *Listener {
	if config.Memory <= 0 {
		config.Memory = DefaultMemory
	}
	if config.MaxConns <= 0 {
		config.MaxConns = DefaultMaxConns()
	}
	if config.MaxHeadBytes == nil {
		config.MaxHeadBytes = func() int { return 0 }
	}
	config.HeaderCopies = max(config.HeaderCopies, 1)
	l := &Listener{Listener: inner, config: config, conns: make(map[*Conn]bool)}
	l.released = sync.NewCond(&l.mu)
	return l
}

// Accept implements net.Listener. At the limit of connections it closes the one that has waited
// longest for a header section or the rest of one, or else the new one, and never stops accepting.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tcp, ok := inner.(*net.TCPConn); ok {
			_ = tcp.SetWriteBuffer(sendBufferBytes)
		}
		now := time.Now()
		c := &Conn{Conn: inner, listener: l, since: now}
		if l.add(c, now) {
			return c, nil
		}
		_ = inner.Close()
	}
}

// add registers a connection. It reports false if there is no room for it.
func (l *Listener) add(c *Conn, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.config.MaxConns {
		l.config.Report.count(LimitConnections)
		// Those that were evicted count until they are closed.
		if len(l.conns) >= l.config.MaxConns+maxLingering || !l.evictWaiting(now) {
			return false
		}
	}
	l.conns[c] = true
	return true
}

// evictWaiting closes the connection that has waited longest for a header section. It reports false
// if none has waited for minWait. The caller holds mu.
func (l *Listener) evictWaiting(now time.Time) bool {
	var longest *Conn
	for c := range l.conns {
		if c.state == stateHead && (longest == nil || c.since.Before(longest.since)) {
			longest = c
		}
	}
	if longest == nil || now.Sub(longest.since) < minWait {
		return false
	}
	longest.evict(refusalUnavailable)
	return true
}

// ConnState is the hook of the same name of http.Server.
func (l *Listener) ConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateActive:
		c.handling = true
		if c.state == stateHead {
			c.state = stateBody
		}
	case http.StateIdle:
		c.beginHead(time.Now())
	case http.StateNew, http.StateClosed, http.StateHijacked:
	}
}

type connKey struct{}

// ConnContext is the hook of the same name of http.Server.
func (l *Listener) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// FromContext returns the connection of a request, nil if it did not come through a Listener.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// setCharge sets the charge of a connection, and blocks while others make room for it. It returns
// ErrMemory if the connection has to make room itself. The caller holds mu.
func (l *Listener) setCharge(c *Conn, charge int) error {
	counted := max(charge-uncountedBytes, 0)
	for {
		if c.state == stateEvicted {
			return ErrMemory
		}
		if grown := counted - c.counted; grown <= 0 || l.total+grown <= l.memory() {
			l.total += grown
			c.counted = counted
			if grown < 0 {
				l.released.Broadcast()
			}
			return nil
		}
		if l.releasing() {
			l.released.Wait()
			continue
		}
		victim := l.heaviest(c, counted, time.Now())
		l.config.Report.count(LimitMemory)
		victim.evict(refusalUnavailable)
	}
}

// memory returns the bound of the charge of all connections.
func (l *Listener) memory() int {
	if l.config.MaxBodyBytes == nil {
		return l.config.Memory
	}
	return max(l.config.Memory, 4*int(l.config.MaxBodyBytes())+maxHeaderCharge)
}

// releasing reports whether an evicted connection still has to release its charge. The caller holds
// mu.
func (l *Listener) releasing() bool {
	for c := range l.conns {
		if c.state == stateEvicted && c.counted > 0 {
			return true
		}
	}
	return false
}

// heaviest returns the connection that holds most for longest among those whose requests were not
// passed on, where the one that asks counts with what it asks for. The caller holds mu.
func (l *Listener) heaviest(asking *Conn, counted int, now time.Time) *Conn {
	weight := func(bytes int, c *Conn) float64 { return float64(bytes) * now.Sub(c.since).Seconds() }
	victim, most := asking, weight(counted, asking)
	for c := range l.conns {
		if c == asking || c.counted == 0 || (c.state != stateHead && c.state != stateBody) {
			continue
		}
		if w := weight(c.counted, c); w > most {
			victim, most = c, w
		}
	}
	return victim
}

// release forgets the charge of a connection. The caller holds mu.
func (l *Listener) release(c *Conn) {
	if c.counted > 0 {
		l.total -= c.counted
		c.counted = 0
	}
	l.released.Broadcast()
}
