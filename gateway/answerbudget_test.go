package gateway

import (
	"errors"
	"io"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/routing/admission"
)

// counted is the size of an answer that counts as n bytes.
func counted(n int) int {
	return n + uncountedBytes
}

// newHeld returns the count of an answer, and whether it was evicted.
func newHeld(b *answerBudget, endpoint string) (*heldAnswer, *bool) {
	evicted := new(bool)
	answer := b.hold(endpoint, nil)
	answer.evict = func(error) {
		*evicted = true
		go answer.release()
	}
	return answer, evicted
}

// Guards against answers that end since another endpoint fills the memory.
func TestEndpointThatSentMostLosesItsLargestAnswer(t *testing.T) {
	b := newAnswerBudget(100)
	small, smallEvicted := newHeld(b, "faulty")
	large, largeEvicted := newHeld(b, "faulty")
	sound, soundEvicted := newHeld(b, "sound")
	assert.NilError(t, small.setBytes(counted(20)))
	assert.NilError(t, large.setBytes(counted(35)))
	assert.NilError(t, sound.setBytes(counted(45)))
	assert.NilError(t, sound.setBytes(counted(50)), "it has fewer bytes than the other endpoint")
	assert.Assert(t, *largeEvicted && !*smallEvicted && !*soundEvicted)
	assert.Assert(t, errors.Is(large.setBytes(counted(36)), ErrHeldTooMuch))
	assert.Assert(t, errors.Is(large.cause(io.EOF), ErrHeldTooMuch))
}

// Guards against a neighbour that loses its answer for being the largest one, while another endpoint
// holds more in several.
func TestEndpointWithManyAnswersLosesBeforeOneWithTheLargest(t *testing.T) {
	b := newAnswerBudget(100)
	var faulty []*bool
	for range 3 {
		answer, evicted := newHeld(b, "faulty")
		assert.NilError(t, answer.setBytes(counted(24)))
		faulty = append(faulty, evicted)
	}
	sound, soundEvicted := newHeld(b, "sound")
	assert.NilError(t, sound.setBytes(counted(28)))
	assert.NilError(t, sound.setBytes(counted(30)))
	lost := 0
	for _, evicted := range faulty {
		if *evicted {
			lost++
		}
	}
	assert.Equal(t, lost, 1)
	assert.Assert(t, !*soundEvicted)
}

// Guards against memory that is lost with each answer, and answers that wait for it without end.
func TestReleasedAnswersMakeRoom(t *testing.T) {
	b := newAnswerBudget(100)
	for range 1000 {
		answer, evicted := newHeld(b, "a")
		assert.NilError(t, answer.setBytes(counted(100)))
		assert.NilError(t, answer.setBytes(counted(0)))
		assert.NilError(t, answer.setBytes(counted(90)))
		answer.finish()
		answer.release()
		answer.release()
		assert.Assert(t, !*evicted)
	}
	assert.Equal(t, b.total, 0)
	assert.Equal(t, len(b.answers), 0)
}

// An answer that was read completely is not lost to one that is still being read.
func TestCompleteAnswerIsKept(t *testing.T) {
	b := newAnswerBudget(100)
	complete, evicted := newHeld(b, "a")
	assert.NilError(t, complete.setBytes(counted(90)))
	complete.finish()
	later, _ := newHeld(b, "a")
	assert.Assert(t, errors.Is(later.setBytes(counted(20)), ErrHeldTooMuch))
	assert.Assert(t, !*evicted)
}

// maxHeapGrowth bounds the live heap with all answers held: maxHeldBytes, the uncounted part of
// each of some hundred answers, and buffers of connections.
const maxHeapGrowth = maxHeldBytes * 3 / 2

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
	f.gateway.answers.mu.Lock()
	defer f.gateway.answers.mu.Unlock()
	return f.gateway.answers.total
}

// heldAreRead reports whether a number of answers are in memory, of which that many bytes were read
// each.
func (f *fixture) heldAreRead(count, bytes int) bool {
	b := f.gateway.answers
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, answers := range b.answers {
		for answer := range answers {
			if counted(answer.bytes) < bytes {
				return false
			}
			count--
		}
	}
	return count == 0
}

// liveHeap returns the bytes that are reachable.
func liveHeap() int {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}
