package telemetry

import (
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// maxQueuedLines is the number of lines queued while the output is slow.
	maxQueuedLines = 2048
	// maxLinesPerSecond and burstLines limit the rate of log lines: a small entry
	// serves about a hundred requests a second with up to three lines each.
	maxLinesPerSecond = 600
	burstLines        = 1200
	// drainTimeout is the longest time that Close waits for the queued lines.
	drainTimeout = 500 * time.Millisecond
)

// NonBlockingWriter writes lines to another writer without blocking the caller.
// Lines above the rate limit, and lines written while the queue is full, are dropped
// and counted.
type NonBlockingWriter struct {
	out     io.Writer
	queue   chan []byte
	limiter *rate.Limiter
	dropped atomic.Int64
	// closing is closed by Close; run then writes the queued lines and returns. queue
	// is never closed, because a goroutine that still logs while the process ends
	// would panic.
	closing chan struct{}
	done    chan struct{}
}

// NewNonBlockingWriter returns a writer that forwards lines to out.
func NewNonBlockingWriter(out io.Writer) *NonBlockingWriter {
	w := &NonBlockingWriter{
		out:     out,
		queue:   make(chan []byte, maxQueuedLines),
		limiter: rate.NewLimiter(maxLinesPerSecond, burstLines),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
	}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *NonBlockingWriter) Write(line []byte) (int, error) {
	if !w.limiter.Allow() {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *NonBlockingWriter) Dropped() int64 {
	return w.dropped.Load()
}

func (w *NonBlockingWriter) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.queue:
			w.emit(line)
		case <-w.closing:
			w.drain()
			return
		}
	}
}

// drain writes the queued lines.
func (w *NonBlockingWriter) drain() {
	for {
		select {
		case line := <-w.queue:
			w.emit(line)
		default:
			return
		}
	}
}

// emit writes one line. It ignores errors: with the output closed, there is
// nowhere to report them.
func (w *NonBlockingWriter) emit(line []byte) {
	_, _ = w.out.Write(line)
}

// Close writes the queued lines and discards later ones. It must be called only
// once and blocks for up to half a second.
func (w *NonBlockingWriter) Close() {
	close(w.closing)
	select {
	case <-w.done:
	case <-time.After(drainTimeout):
	}
}
