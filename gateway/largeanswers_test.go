package gateway

import (
	"io"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/internal/heldbytes"
	"github.com/snipestep/snipestep/routing/admission"
)

// maxHeapGrowth bounds the live heap with all answers held: heldbytes.DefaultLimit, the uncounted part of
// each of some hundred answers, and buffers of connections.
const maxHeapGrowth = heldbytes.DefaultLimit * 3 / 2

// largeAnswers are endpoints that send large answers and no end, until end is closed. They answer
// sound requests at once.
type largeAnswers struct {
	piece    string
	maxBytes int
	end      chan struct{}
	// holding counts the answers that were sent but for their end.
	holding atomic.Int64
}

// ServeHTTP implements http.Handler.
func (l *largeAnswers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Id") == soundID {
		respondWith(soundResponse)(w, r)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Id", r.Header.Get("Id"))
	for sent := 0; sent+len(l.piece) < l.maxBytes; sent += len(l.piece) {
		if _, err := io.WriteString(w, l.piece); err != nil {
			return
		}
	}
	_ = http.NewResponseController(w).Flush()
	l.holding.Add(1)
	defer l.holding.Add(-1)
	select {
	case <-r.Context().Done():
	case <-l.end:
	}
}

// sentBytes is the size of an answer but for its end.
func (l *largeAnswers) sentBytes() int {
	return (l.maxBytes - 1) / len(l.piece) * len(l.piece)
}

// soundID is the ID of sound requests.
const soundID = "sound"

// Guards against an entry that runs out of memory since several endpoints send large answers without
// an end, each below the bound of one answer, and against sound requests that fail meanwhile.
func TestManyLargeAnswersStayWithinTheMemory(t *testing.T) {
	const calls = 48
	for path, faulty := range map[string]*largeAnswers{
		"/once/":   {piece: strings.Repeat("x", 64<<10), maxBytes: maxBufferedBytes, end: make(chan struct{})},
		"/again/":  {piece: strings.Repeat("x", 64<<10), maxBytes: maxBufferedBytes, end: make(chan struct{})},
		"/stream/": {piece: "data: " + strings.Repeat("x", 64<<10), maxBytes: maxEventBytes - 64<<10, end: make(chan struct{})},
	} {
		t.Run(path, func(t *testing.T) {
			handler := faulty.ServeHTTP
			f := newFixture(t, handler, handler, handler, handler, respondWith(soundResponse))
			service := (*f.gateway.services.Load())["s"]
			before := liveHeap()
			var running sync.WaitGroup
			var ended atomic.Int64
			for i := range calls {
				running.Go(func() {
					_, _, _ = f.send(t, path, func(r *http.Request) { r.Header.Set("Id", strconv.Itoa(i)) })
					ended.Add(1)
				})
			}
			for waiting := 1; waiting > 0 || faulty.holding.Load()+ended.Load() != calls || !f.heldAreRead(int(faulty.holding.Load()), faulty.sentBytes()); {
				service.gate.Inspect(func(p *admission.Pool) { waiting = p.Waiting() })
				response, _, err := f.send(t, "/once/", func(r *http.Request) { r.Header.Set("Id", soundID) })
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, http.StatusOK)
			}
			assert.Assert(t, faulty.holding.Load() > 0)
			grown := liveHeap() - before
			assert.Assert(t, grown < maxHeapGrowth, "%d MB", grown>>20)
			close(faulty.end)
			running.Wait()
			assert.Equal(t, f.held(), 0)
		})
	}
}

// held returns the counted bytes of the answers in memory.
func (f *fixture) held() int {
	return f.gateway.answers.Total()
}

// heldAreRead reports whether a number of answers are in memory, of which that many bytes were read
// each.
func (f *fixture) heldAreRead(count, bytes int) bool {
	counted := f.gateway.answers.Counted()
	for _, answerBytes := range counted {
		if answerBytes+heldbytes.UncountedBytes < bytes {
			return false
		}
	}
	return len(counted) == count
}

// liveHeap returns the bytes that are reachable.
func liveHeap() int {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}
