package gateway

import (
	"errors"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestEventsAreCutAtBlankLinesWithTheirBytes(t *testing.T) {
	r := newEventReader(strings.NewReader("version: 2\nid: 7\ndata: a\n\nid:8\r\ndata: b\r\n\r\n"))
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

func TestEndInsideAnEventIsNoEnd(t *testing.T) {
	r := newEventReader(strings.NewReader("id: 1\ndata: a"))
	_, err := r.next()
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF))
}

func TestEventsFollowByNumber(t *testing.T) {
	assert.Assert(t, follows("2", "3"))
	assert.Assert(t, !follows("2", "4"))
	assert.Assert(t, !follows("2", "2"))
	assert.Assert(t, follows("a", "b"), "names have no order")
}

func FuzzEventReader(f *testing.F) {
	f.Add("id: 1\ndata: x\n\nid: 2\n")
	f.Fuzz(func(t *testing.T, stream string) {
		r := newEventReader(strings.NewReader(stream))
		passed := 0
		for {
			e, err := r.next()
			passed += len(e.data)
			if err != nil {
				break
			}
		}
		if passed+len(r.rest) != len(stream) {
			t.Fatalf("%d of %d bytes seen", passed+len(r.rest), len(stream))
		}
	})
}
