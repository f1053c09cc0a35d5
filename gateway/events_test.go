package gateway

import (
	"errors"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestEventsAreSplitAtBlankLinesUnchanged(t *testing.T) {
	r := newEventReader(strings.NewReader("version: 2\nid: 7\ndata: a\n\nid:8\r\ndata: b\r\n\r\n"), uncounted)
	first, err := r.next()
	assert.NilError(t, err)
	assert.Equal(t, first.id, "7")
	assert.Equal(t, string(first.data), "version: 2\nid: 7\ndata: a\n\n")
	second, err := r.next()
	assert.NilError(t, err)
	assert.Equal(t, second.id, "8")
	_, err = r.next()
	assert.Assert(t, errors.Is(err, io.EOF))
}

func TestEndInsideEventIsUnexpectedEOF(t *testing.T) {
	r := newEventReader(strings.NewReader("id: 1\ndata: a"), uncounted)
	_, err := r.next()
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF))
}

func TestEventIDsMustBeConsecutive(t *testing.T) {
	assert.Assert(t, isNextEvent("2", "3"))
	assert.Assert(t, !isNextEvent("2", "4"))
	assert.Assert(t, !isNextEvent("2", "2"))
	assert.Assert(t, !isNextEvent("2", ""))
	assert.Assert(t, !isNextEvent("2", "a"))
	assert.Assert(t, isNextEvent("a", "b"), "non-numeric IDs have no order")
}

func FuzzEventReader(f *testing.F) {
	f.Add("id: 1\ndata: x\n\nid: 2\n")
	f.Fuzz(func(t *testing.T, stream string) {
		r := newEventReader(strings.NewReader(stream), uncounted)
		returned := 0
		for {
			e, err := r.next()
			returned += len(e.data)
			if err != nil {
				break
			}
		}
		if returned+len(r.partial) != len(stream) {
			t.Fatalf("%d of %d bytes read", returned+len(r.partial), len(stream))
		}
	})
}

// Guards against comments and blank lines without end that count as events, and so
// reset the timer of a silent stream.
func TestCommentsAndBlankLinesAreNoEvents(t *testing.T) {
	r := newEventReader(strings.NewReader("\n: ping\n\nid: 1\n\n\n: ping\n\nid: 2\n\n: bye\n\n\n"), uncounted)
	for _, want := range []event{
		{id: "1", data: []byte("\n: ping\n\nid: 1\n\n")},
		{id: "2", data: []byte("\n: ping\n\nid: 2\n\n")},
		{filler: true, data: []byte(": bye\n\n\n")},
	} {
		e, err := r.next()
		assert.NilError(t, err)
		assert.Equal(t, string(e.data), string(want.data))
		assert.Equal(t, e.id, want.id)
		assert.Equal(t, e.filler, want.filler)
	}
	_, err := r.next()
	assert.Assert(t, errors.Is(err, io.EOF))
}

func TestEndInsideCommentsIsUnexpectedEOF(t *testing.T) {
	r := newEventReader(strings.NewReader("\n: pi"), uncounted)
	_, err := r.next()
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF))
}

// Guards against an event that never ends filling the memory.
func TestEventLargerThanTheBoundIsAnError(t *testing.T) {
	for name, line := range map[string]string{"one line": "x", "many lines": "data: x\n"} {
		r := newEventReader(strings.NewReader("id: 1\n\n"+strings.Repeat(line, 2*maxEventBytes)), uncounted)
		_, err := r.next()
		assert.NilError(t, err, name)
		_, err = r.next()
		assert.Assert(t, errors.Is(err, ErrEventTooLarge), name)
		assert.Assert(t, len(r.partial) < maxEventBytes+2*eventBufferBytes, name)
	}
}

func TestLargestEventIsReadWhole(t *testing.T) {
	largest := "data: " + strings.Repeat("x", maxEventBytes-len("data: \n\n")) + "\n\n"
	r := newEventReader(strings.NewReader(largest), uncounted)
	e, err := r.next()
	assert.NilError(t, err)
	assert.Assert(t, string(e.data) == largest)
}

// uncounted lets events have any size.
func uncounted(int) error {
	return nil
}
