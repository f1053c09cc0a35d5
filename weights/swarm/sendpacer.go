package swarm

import (
	"context"
	"sync"

	"golang.org/x/time/rate"
)

// maxWriteBytes limits a single write of a paced server, so that other traffic
// of the instance waits behind no more than that.
const maxWriteBytes = 4 << 10

// pacedFrame is a frame queued for a paced write.
type pacedFrame struct {
	conn  *serverConn
	parts [][]byte
}

// sendPacer writes frames one after the other at a limited rate. mu is the
// server's mutex and guards the queue; run writes without holding it.
type sendPacer struct {
	mu      *sync.Mutex
	limiter *rate.Limiter
	// currentRate returns the rate limit in bytes per second.
	currentRate func() float64
	queue       []pacedFrame
	wake        chan struct{}
}

func newSendPacer(mu *sync.Mutex, currentRate func() float64) *sendPacer {
	return &sendPacer{
		mu:          mu,
		limiter:     rate.NewLimiter(rate.Limit(currentRate()), maxWriteBytes),
		currentRate: currentRate,
		wake:        make(chan struct{}, 1),
	}
}

// enqueue queues a frame. The caller holds the mutex.
func (p *sendPacer) enqueue(c *serverConn, parts [][]byte) {
	c.pacedFrames++
	p.queue = append(p.queue, pacedFrame{conn: c, parts: parts})
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// run writes queued frames until ctx ends.
func (p *sendPacer) run(ctx context.Context) {
	for {
		frame, ok := p.dequeue()
		if !ok {
			select {
			case <-ctx.Done():
				return
			case <-p.wake:
			}
			continue
		}
		if err := p.writeFrame(ctx, frame); err != nil && ctx.Err() != nil {
			return
		}
		p.mu.Lock()
		frame.conn.pacedFrames--
		p.mu.Unlock()
	}
}

// dequeue takes the first frame off the queue.
func (p *sendPacer) dequeue() (pacedFrame, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.queue) == 0 {
		return pacedFrame{}, false
	}
	frame := p.queue[0]
	p.queue = p.queue[1:]
	return frame, true
}

// writeFrame writes a frame in small steps. It ends early on a closed connection.
func (p *sendPacer) writeFrame(ctx context.Context, frame pacedFrame) error {
	p.limiter.SetLimit(rate.Limit(p.currentRate()))
	for _, part := range frame.parts {
		for len(part) > 0 {
			step := part[:min(maxWriteBytes, len(part))]
			part = part[len(step):]
			if err := p.limiter.WaitN(ctx, len(step)); err != nil {
				return err
			}
			if err := frame.conn.conn.AsyncWrite(step, nil); err != nil {
				return err
			}
		}
	}
	return nil
}
