//go:build crowd && linux

package crowdtest

import (
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// maxPeakBytes bounds the resident size. The smallest known entry has 184 MB, and pages of
	// the programs, sockets and the system take their part of it.
	maxPeakBytes = 96 << 20
	// maxDescriptors bounds the open descriptors of the entry.
	maxDescriptors = 600
	// pressTime is how long a crowd keeps its connections after it has sent what it sends, and
	// the longest time for which it sends.
	pressTime = 4 * time.Second
	// endlessBytes bounds what a caller sends that sends without end.
	endlessBytes = 8 << 20
	// largeAnswer is the size of an answer that callers do not read, the largest that is buffered.
	largeAnswer = 4<<20 - 1024
)

// crowd is a set of callers of one kind. None reads its answers.
type crowd struct {
	callers int
	// begin is what each caller sends first.
	begin string
	// repeat is sent again and again after that, up to endlessBytes; empty for nothing.
	repeat string
	// slow callers send repeat a byte at a time.
	slow bool
	// smallBuffer callers have a small receive buffer.
	smallBuffer bool
}

// press opens the connections, sends, and returns after pressTime with the connections still open.
// Connections that the entry refuses or ends are no failure.
func (c crowd) press(address string) (release func()) {
	var mu sync.Mutex
	var conns []net.Conn
	var senders sync.WaitGroup
	dialer := &net.Dialer{Timeout: pressTime}
	if c.smallBuffer {
		dialer.Control = func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
			})
		}
	}
	slots := make(chan struct{}, 32) // Connections that are being opened.
	for range c.callers {
		senders.Go(func() {
			slots <- struct{}{}
			conn, err := dialer.Dial("tcp", address)
			<-slots
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
			_ = conn.SetDeadline(time.Now().Add(pressTime))
			c.send(conn)
		})
	}
	senders.Wait()
	time.Sleep(pressTime)
	return func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
}

// send sends what a caller sends.
func (c crowd) send(conn net.Conn) {
	if _, err := io.WriteString(conn, c.begin); err != nil || c.repeat == "" {
		return
	}
	piece := c.repeat
	for sent := 0; sent < endlessBytes; sent += len(piece) {
		if c.slow {
			piece = c.repeat[sent%len(c.repeat):][:1]
			time.Sleep(pressTime / 16)
		}
		if _, err := io.WriteString(conn, piece); err != nil {
			return
		}
	}
}

// check sends the crowds to an entry, all at once, and checks that the entry lives within its
// bounds and serves an ordinary request: while the connections are still open if stays is set.
func check(t *testing.T, e *target, stays bool, crowds ...crowd) {
	t.Helper()
	idle := e.process.peakBytes(t)
	stop := make(chan struct{})
	mostDescriptors := make(chan int)
	go func() {
		most := 0
		for {
			most = max(most, e.process.descriptors())
			select {
			case <-stop:
				mostDescriptors <- most
				return
			case <-time.After(pollInterval):
			}
		}
	}()
	releases := make([]func(), len(crowds))
	var pressing sync.WaitGroup
	for i, c := range crowds {
		pressing.Go(func() { releases[i] = c.press(e.address) })
	}
	pressing.Wait()
	release := sync.OnceFunc(func() {
		for _, r := range releases {
			r()
		}
	})
	defer release()
	close(stop)
	descriptors := <-mostDescriptors
	assert.Assert(t, e.process.lives(), "the process has ended")
	peak := e.process.peakBytes(t)
	t.Logf("peak of the resident size %.1f MB, %.1f MB before, %d descriptors", float64(peak)/1e6, float64(idle)/1e6, descriptors)
	if peak > maxPeakBytes {
		t.Errorf("resident size of %.1f MB, at most %.1f", float64(peak)/1e6, float64(maxPeakBytes)/1e6)
	}
	if descriptors > maxDescriptors {
		t.Errorf("%d descriptors, at most %d", descriptors, maxDescriptors)
	}
	if !stays {
		release()
	}
	e.assertServesOrdinary(t)
	assert.Assert(t, e.process.lives(), "the process has ended")
}
