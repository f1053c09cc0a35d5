package fakes

import (
	"context"
	"net"
	"time"
)

// maxQueuedSegments limits the segments in flight on a path with latency.
const maxQueuedSegments = 64

// linkConn is a shaped connection. Its user reads and writes one end of a pipe;
// two relays copy the bytes between the other end and the remote connection.
type linkConn struct {
	net.Conn // The user's end of the pipe.
	remote   net.Conn
	outbound *linkPath
	inbound  *linkPath
	cancel   context.CancelFunc
}

func newLinkConn(remote net.Conn, outbound, inbound *linkPath) *linkConn {
	userEnd, relayEnd := net.Pipe()
	ctx, cancel := context.WithCancel(context.Background())
	go relay(ctx, relayEnd, remote, outbound)
	go relay(ctx, remote, relayEnd, inbound)
	return &linkConn{Conn: userEnd, remote: remote, outbound: outbound, inbound: inbound, cancel: cancel}
}

// Close implements net.Conn. Bytes written before still arrive, unless a
// direction is stalled.
func (c *linkConn) Close() error {
	err := c.Conn.Close()
	if c.outbound.stalled() || c.inbound.stalled() {
		c.cancel()
	}
	return err
}

// LocalAddr implements net.Conn.
func (c *linkConn) LocalAddr() net.Addr {
	return c.remote.LocalAddr()
}

// RemoteAddr implements net.Conn.
func (c *linkConn) RemoteAddr() net.Addr {
	return c.remote.RemoteAddr()
}

// segment is data in flight.
type segment struct {
	deliverAt time.Time
	data      []byte
}

// relay copies bytes along a path until either side ends, then closes both.
func relay(ctx context.Context, from, to net.Conn, path *linkPath) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	segments := make(chan segment, maxQueuedSegments)
	go func() {
		defer close(segments)
		transmit(ctx, from, path, segments)
	}()
	deliver(ctx, to, path, segments)
	cancel()
	to.Close()
	from.Close()
	for segment := range segments {
		putBuffer(segment.data)
	}
}

// transmit reads segments, waits for bandwidth and queues them for delivery.
func transmit(ctx context.Context, from net.Conn, path *linkPath, segments chan<- segment) {
	size := smallBufferBytes
	for {
		buffer := getBuffer(min(size, path.segmentBytes))
		readBytes, err := from.Read(buffer)
		size = nextBufferSize(readBytes, len(buffer))
		if readBytes > 0 && path.waitForBandwidth(ctx, readBytes) == nil {
			segments <- segment{deliverAt: path.links.clock().Add(path.latency), data: buffer[:readBytes]}
		}
		if err != nil || ctx.Err() != nil {
			return
		}
	}
}

// deliver writes each segment when its latency has passed.
func deliver(ctx context.Context, to net.Conn, path *linkPath, segments <-chan segment) {
	for segment := range segments {
		wait := segment.deliverAt.Sub(path.links.clock())
		if wait > 0 && path.links.sleep(ctx, wait) != nil {
			return
		}
		_, err := to.Write(segment.data)
		putBuffer(segment.data)
		if err != nil {
			return
		}
	}
}
