package telemetry_test

import (
	"io"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/telemetry"
)

// lineCounter counts the lines written to it.
type lineCounter struct {
	mu    sync.Mutex
	lines int64
}

func (c *lineCounter) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lines += int64(strings.Count(string(p), "\n"))
	return len(p), nil
}

func TestEveryLineIsWrittenOrCountedAsDropped(t *testing.T) {
	out := &lineCounter{}
	w := telemetry.NewNonBlockingWriter(out)
	const lines = 20_000
	for range lines {
		_, err := io.WriteString(w, "line\n")
		assert.NilError(t, err)
	}
	w.Close()
	assert.Equal(t, out.lines+w.Dropped(), int64(lines))
	assert.Assert(t, w.Dropped() > 0)
}

// blockedWriter blocks every Write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

func TestBlockedOutputDoesNotBlockWrite(t *testing.T) {
	blocked := blockedWriter{release: make(chan struct{})}
	w := telemetry.NewNonBlockingWriter(blocked)
	for range 10_000 {
		_, err := io.WriteString(w, "line\n")
		assert.NilError(t, err)
	}
	assert.Assert(t, w.Dropped() > 0)
	close(blocked.release)
	w.Close()
}

func TestWriteAfterCloseIsDiscarded(t *testing.T) {
	out := &lineCounter{}
	w := telemetry.NewNonBlockingWriter(out)
	_, err := io.WriteString(w, "line\n")
	assert.NilError(t, err)
	w.Close()
	_, err = io.WriteString(w, "late\n")
	assert.NilError(t, err)
	assert.Equal(t, out.lines, int64(1))
}
