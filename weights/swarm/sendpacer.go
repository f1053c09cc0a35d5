package swarm

import (
	"context"
	"sync"

	"golang.org/x/time/rate"
)

// sendStep is the most that a paced server writes at once, in bytes. Other
// traffic of the instance waits behind no more than that.
const sendStep = 4 << 10

// pacedFrame is a frame that waits to be written.
type pacedFrame struct {
	conn  *serverConn
	parts [][]byte
}

// sendPacer writes frames one after the other at a bounded rate. Its queue is
// guarded by the server's mutex; run may write without it.
type sendPacer struct {
	mu      *sync.Mutex
	limiter *rate.Limiter
	// rate returns the present bound in bytes a second.
	rate  func() float64
	queue []pacedFrame
	wake  chan struct{}
}

func newSendPacer(mu *sync.Mutex, bound func() float64) *sendPacer {
	return &sendPacer{
		mu:      mu,
		limiter: rate.NewLimiter(rate.Limit(bound()), sendStep),
		rate:    bound,
		wake:    make(chan struct{}, 1),
	}
}

// add queues a frame. The mutex is held.
func (p *sendPacer) add(c *serverConn, parts [][]byte) {
	c.paced++
	p.queue = append(p.queue, pacedFrame{conn: c, parts: parts})
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// run writes queued frames until ctx ends.
func (p *sendPacer) run(ctx context.Context) {
	for {
		frame, ok := p.next()
		if !ok {
			select {
			case <-ctx.Done():
				return
			case <-p.wake:
			}
			continue
		}
		if err := p.write(ctx, frame); err != nil && ctx.Err() != nil {
			return
		}
		p.mu.Lock()
		frame.conn.paced--
		p.mu.Unlock()
	}
}

// next takes the first frame off the queue.
func (p *sendPacer) next() (pacedFrame, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.queue) == 0 {
		return pacedFrame{}, false
	}
	frame := p.queue[0]
	p.queue = p.queue[1:]
	return frame, true
}

// write writes a frame in small steps. It ends early on a closed connection.
func (p *sendPacer) write(ctx context.Context, frame pacedFrame) error {
	p.limiter.SetLimit(rate.Limit(p.rate()))
	for _, part := range frame.parts {
		for len(part) > 0 {
			step := part[:min(sendStep, len(part))]
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
