package heldbytes

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// counted is the size of an answer that counts as n bytes.
func counted(n int) int {
	return n + UncountedBytes
}

// newHeld returns the count of an answer, and whether it was evicted.
func newHeld(b *Budget, owner string) (*Held, *bool) {
	evicted := new(bool)
	answer := b.Hold(context.Background(), owner, nil)
	answer.evict = func(error) {
		*evicted = true
		go answer.Release()
	}
	return answer, evicted
}

// Guards against answers that end since another endpoint fills the memory.
func TestEndpointThatSentMostLosesItsLargestAnswer(t *testing.T) {
	b := NewBudget(100)
	small, smallEvicted := newHeld(b, "faulty")
	large, largeEvicted := newHeld(b, "faulty")
	sound, soundEvicted := newHeld(b, "sound")
	assert.NilError(t, small.SetBytes(counted(20)))
	assert.NilError(t, large.SetBytes(counted(35)))
	assert.NilError(t, sound.SetBytes(counted(45)))
	assert.NilError(t, sound.SetBytes(counted(50)), "it has fewer bytes than the other endpoint")
	assert.Assert(t, *largeEvicted && !*smallEvicted && !*soundEvicted)
	assert.Assert(t, errors.Is(large.SetBytes(counted(36)), ErrNoRoom))
	assert.Assert(t, errors.Is(large.Cause(io.EOF), ErrNoRoom))
}

// Guards against a neighbour that loses its answer for being the largest one, while another endpoint
// holds more in several.
func TestEndpointWithManyAnswersLosesBeforeOneWithTheLargest(t *testing.T) {
	b := NewBudget(100)
	var faulty []*bool
	for range 3 {
		answer, evicted := newHeld(b, "faulty")
		assert.NilError(t, answer.SetBytes(counted(24)))
		faulty = append(faulty, evicted)
	}
	sound, soundEvicted := newHeld(b, "sound")
	assert.NilError(t, sound.SetBytes(counted(28)))
	assert.NilError(t, sound.SetBytes(counted(30)))
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
	b := NewBudget(100)
	for range 1000 {
		answer, evicted := newHeld(b, "a")
		assert.NilError(t, answer.SetBytes(counted(100)))
		assert.NilError(t, answer.SetBytes(counted(0)))
		assert.NilError(t, answer.SetBytes(counted(90)))
		assert.NilError(t, answer.Finish())
		answer.Release()
		answer.Release()
		assert.Assert(t, !*evicted)
	}
	assert.Equal(t, b.total, 0)
	assert.Equal(t, len(b.answers), 0)
}

// An answer that was read completely is not lost to one that is still being read.
func TestCompleteAnswerIsKept(t *testing.T) {
	b := NewBudget(100)
	complete, evicted := newHeld(b, "a")
	assert.NilError(t, complete.SetBytes(counted(90)))
	assert.NilError(t, complete.Finish())
	later, _ := newHeld(b, "a")
	assert.Assert(t, errors.Is(later.SetBytes(counted(20)), ErrNoRoom))
	assert.Assert(t, !*evicted)
}

// Guards against a call that ends and still waits for the room of an answer that nobody releases.
func TestWaitForRoomEndsWithTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(100)
		largest := b.Hold(t.Context(), "a", func(error) {}) // It is evicted and not released.
		assert.NilError(t, largest.SetBytes(counted(90)))
		ctx, cancel := context.WithCancelCause(t.Context())
		asking := b.Hold(ctx, "b", cancel)
		ended := make(chan error, 1)
		go func() { ended <- asking.SetBytes(counted(20)) }()
		synctest.Wait()
		assert.Equal(t, len(ended), 0)
		cancel(io.EOF)
		assert.Assert(t, errors.Is(<-ended, io.EOF))
	})
}

// Guards against an answer that is complete at the moment at which it is evicted, and is then held
// as long as its caller likes while others wait for its room.
func TestAnswerThatIsCompleteTooLateIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(100)
		answer := b.Hold(t.Context(), "a", func(error) {})
		assert.NilError(t, answer.SetBytes(counted(90)))
		asking := b.Hold(t.Context(), "b", func(error) {})
		ended := make(chan error, 1)
		go func() { ended <- asking.SetBytes(counted(20)) }()
		synctest.Wait()
		assert.Assert(t, errors.Is(answer.Finish(), ErrNoRoom))
		answer.Release()
		assert.NilError(t, <-ended)
	})
}

// Guards against a body whose copies are not counted while both exist, and against bytes that stay
// counted afterwards.
func TestJoinedBodyCountsTwiceWhileItIsJoined(t *testing.T) {
	body := strings.Repeat("x", 10*pieceBytes)
	for limit, want := range map[int]error{2*len(body) + pieceBytes: nil, 2*len(body) - 2*pieceBytes: ErrNoRoom} {
		b := NewBudget(limit)
		held := b.Hold(t.Context(), "a", func(error) {})
		whole, err := ReadAll(strings.NewReader(body), held)
		assert.Assert(t, errors.Is(err, want))
		if want == nil {
			assert.Equal(t, string(whole), body)
			assert.Equal(t, counted(b.Total()), len(body))
		}
		held.Release()
		assert.Equal(t, b.Total(), 0)
	}
}

// A body is read without a budget, too.
func TestBodyIsReadWithoutABudget(t *testing.T) {
	for _, size := range []int{0, 1, firstPieceBytes, pieceBytes, 3 * pieceBytes} {
		body := strings.Repeat("x", size)
		whole, err := ReadAll(strings.NewReader(body), nil)
		assert.NilError(t, err)
		assert.Equal(t, string(whole), body)
	}
}

// newWriting returns the count of an answer that is being written, and whether the writing was ended.
func newWriting(t *testing.T, b *Budget, n int) (*Held, *atomic.Bool) {
	t.Helper()
	aborted := new(atomic.Bool)
	answer := b.Hold(t.Context(), "a", func(error) {})
	assert.NilError(t, answer.SetBytes(counted(n)))
	assert.NilError(t, answer.StartWriting(func() {
		aborted.Store(true)
		answer.Release()
	}))
	return answer, aborted
}

// Guards against callers that do not read their answers and so keep all others from theirs, and
// against one that reads slowly and loses its answer.
func TestAnswerOfStalledCallerMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(100)
		reads, readsAborted := newWriting(t, b, 40)
		_, stalledAborted := newWriting(t, b, 30)
		asking, evicted := newHeld(b, "a")
		assert.NilError(t, asking.SetBytes(counted(20)))
		for range 3 {
			time.Sleep(StalledAfter / 2)
			reads.RecordProgress()
		}
		assert.NilError(t, asking.SetBytes(counted(60)))
		assert.Assert(t, stalledAborted.Load() && !readsAborted.Load() && !*evicted)
		assert.Assert(t, errors.Is(asking.SetBytes(counted(61)), ErrNoRoom))
		assert.Assert(t, !readsAborted.Load())
	})
}

// An answer that is being read makes room before one whose caller has stalled; without either, the
// one that asks loses at once.
func TestAnswerThatIsReadMakesRoomBeforeAStalledOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(100)
		_, aborted := newWriting(t, b, 40)
		read, readEvicted := newHeld(b, "b")
		assert.NilError(t, read.SetBytes(counted(40)))
		asking, _ := newHeld(b, "c")
		time.Sleep(StalledAfter)
		assert.NilError(t, asking.SetBytes(counted(30)))
		assert.Assert(t, *readEvicted && !aborted.Load())
	})
	b := NewBudget(100)
	_, aborted := newWriting(t, b, 80)
	asking, _ := newHeld(b, "c")
	assert.Assert(t, errors.Is(asking.SetBytes(counted(30)), ErrNoRoom))
	assert.Assert(t, !aborted.Load())
}
