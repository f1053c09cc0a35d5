package telemetry

import (
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// logQueue is the number of lines that may wait for a slow reader.
	logQueue = 2048
	// logRate and logBurst bound the lines a second: a small entry serves
	// about a hundred requests a second with up to three lines each.
	logRate  = 600
	logBurst = 1200
	// logDrain is how long Close waits for the lines that are queued.
	logDrain = 500 * time.Millisecond
)

// BoundedWriter hands lines to a writer without ever blocking the caller.
// Lines above the rate, or behind a full queue, are dropped and counted.
type BoundedWriter struct {
	out     io.Writer
	lines   chan []byte
	limit   *rate.Limiter
	dropped atomic.Int64
	// closing ends the writing of further lines; lines stays open, since
	// goroutines of a process that ends may still log.
	closing chan struct{}
	done    chan struct{}
}

// NewBoundedWriter returns a writer in front of out.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	w := &BoundedWriter{
		out:     out,
		lines:   make(chan []byte, logQueue),
		limit:   rate.NewLimiter(logRate, logBurst),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
	}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	if !w.limit.Allow() {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *BoundedWriter) Dropped() int64 {
	return w.dropped.Load()
}

func (w *BoundedWriter) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.pass(line)
		case <-w.closing:
			w.drain()
			return
		}
	}
}

// drain writes the lines that are queued.
func (w *BoundedWriter) drain() {
	for {
		select {
		case line := <-w.lines:
			w.pass(line)
		default:
			return
		}
	}
}

// pass writes one line. A reader that is gone cannot be told about it.
func (w *BoundedWriter) pass(line []byte) {
	_, _ = w.out.Write(line)
}

// Close writes what is queued; lines that are written later are lost. It is
// called once. It blocks for up to half a second.
func (w *BoundedWriter) Close() {
	close(w.closing)
	select {
	case <-w.done:
	case <-time.After(logDrain):
	}
}
