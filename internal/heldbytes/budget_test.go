package heldbytes

import (
	"errors"
	"io"
	"testing"

	"gotest.tools/v3/assert"
)

// counted is the size of an answer that counts as n bytes.
func counted(n int) int {
	return n + UncountedBytes
}

// newHeld returns the count of an answer, and whether it was evicted.
func newHeld(b *Budget, owner string) (*Held, *bool) {
	evicted := new(bool)
	answer := b.Hold(owner, nil)
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
		answer.Finish()
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
	complete.Finish()
	later, _ := newHeld(b, "a")
	assert.Assert(t, errors.Is(later.SetBytes(counted(20)), ErrNoRoom))
	assert.Assert(t, !*evicted)
}
