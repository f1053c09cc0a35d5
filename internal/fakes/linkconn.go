package fakes

import (
	"context"
	"net"
	"time"
)

// queuedSteps bounds the steps under way on a path with latency.
const queuedSteps = 64

// linkConn is a shaped connection. Its user talks to one end of a pipe; two
// relays move the bytes between the other end and the real connection.
type linkConn struct {
	net.Conn // The user's end of the pipe.
	real     net.Conn
	up       *linkPath
	down     *linkPath
	end      context.CancelFunc
}

func newLinkConn(conn net.Conn, up, down *linkPath) *linkConn {
	user, relayed := net.Pipe()
	ctx, end := context.WithCancel(context.Background())
	go relay(ctx, relayed, conn, up)
	go relay(ctx, conn, relayed, down)
	return &linkConn{Conn: user, real: conn, up: up, down: down, end: end}
}

// Close implements net.Conn. Bytes written before still arrive, unless a
// direction is stalled.
func (c *linkConn) Close() error {
	err := c.Conn.Close()
	if c.up.stalled() || c.down.stalled() {
		c.end()
	}
	return err
}

// LocalAddr implements net.Conn.
func (c *linkConn) LocalAddr() net.Addr {
	return c.real.LocalAddr()
}

// RemoteAddr implements net.Conn.
func (c *linkConn) RemoteAddr() net.Addr {
	return c.real.RemoteAddr()
}

// delivery is bytes on their way.
type delivery struct {
	at   time.Time
	data []byte
}

// relay moves bytes along a path until either side ends, then closes the
// receiver.
func relay(ctx context.Context, from, to net.Conn, path *linkPath) {
	ctx, end := context.WithCancel(ctx)
	defer end()
	deliveries := make(chan delivery, queuedSteps)
	go func() {
		defer close(deliveries)
		send(ctx, from, path, deliveries)
	}()
	deliver(ctx, to, path, deliveries)
	end()
	to.Close()
	from.Close()
	for delivery := range deliveries {
		returnBuffer(delivery.data)
	}
}

// send reads steps, pays for them and puts them on their way.
func send(ctx context.Context, from net.Conn, path *linkPath, deliveries chan<- delivery) {
	size := smallBufferBytes
	for {
		buffer := takeBuffer(min(size, path.step))
		read, err := from.Read(buffer)
		size = nextBufferSize(read, len(buffer))
		if read > 0 && path.pay(ctx, read) == nil {
			deliveries <- delivery{at: path.links.clock().Add(path.latency), data: buffer[:read]}
		}
		if err != nil || ctx.Err() != nil {
			return
		}
	}
}

// deliver writes steps when they arrive.
func deliver(ctx context.Context, to net.Conn, path *linkPath, deliveries <-chan delivery) {
	for delivery := range deliveries {
		wait := delivery.at.Sub(path.links.clock())
		if wait > 0 && path.links.sleep(ctx, wait) != nil {
			return
		}
		_, err := to.Write(delivery.data)
		returnBuffer(delivery.data)
		if err != nil {
			return
		}
	}
}
