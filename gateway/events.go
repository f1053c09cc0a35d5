package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/rotisserie/eris"
)

// ErrEventTooLarge reports an event larger than maxEventBytes.
var ErrEventTooLarge = eris.New("event is too large")

// event is one complete event of a stream, with its bytes unchanged. Comments and blank
// lines before it are part of it.
type event struct {
	id   string // Empty if the event has none.
	data []byte
	// filler is set for comments and blank lines at the end of a stream.
	filler bool
}

// eventReader splits a stream into events.
type eventReader struct {
	lines *bufio.Reader
	// partial holds the incomplete event at the end of the stream.
	partial []byte
	// hold records the size of the event that is being read, or returns why it is given up on.
	hold func(bytes int) error
}

func newEventReader(r io.Reader, hold func(bytes int) error) *eventReader {
	return &eventReader{lines: bufio.NewReaderSize(r, eventBufferBytes), hold: hold}
}

const (
	// eventBufferBytes fits several events of some hundred bytes each.
	eventBufferBytes = 4 << 10
	// maxEventBytes bounds an event, which is held in memory until its end: a
	// thousand times the size of one with a few tokens.
	maxEventBytes = 1 << 20
)

// next blocks until it can return the next complete event. At the end of the
// stream it returns io.EOF, or io.ErrUnexpectedEOF if an event is incomplete, and
// ErrEventTooLarge without waiting for the end of a larger event; other errors come
// from the connection.
func (r *eventReader) next() (event, error) {
	e := event{filler: true}
	fillerBytes := 0
	for {
		start := len(e.data)
		var err error
		e.data, err = r.appendLine(e.data)
		if errors.Is(err, io.EOF) && fillerBytes > 0 && len(e.data) == fillerBytes {
			return e, nil
		}
		if err != nil {
			r.partial = e.data
			if errors.Is(err, io.EOF) && len(e.data) > 0 {
				return event{}, io.ErrUnexpectedEOF
			}
			return event{}, err
		}
		text := bytes.TrimRight(e.data[start:], "\r\n")
		switch {
		case len(text) == 0 && !e.filler:
			return e, nil
		case len(text) == 0:
			fillerBytes = len(e.data)
		case text[0] != ':':
			e.filler = false
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			e.id = string(bytes.TrimSpace(value))
		}
	}
}

// appendLine appends the next line to the data of an event.
func (r *eventReader) appendLine(data []byte) ([]byte, error) {
	for {
		part, err := r.lines.ReadSlice('\n')
		if len(data)+len(part) > maxEventBytes {
			return data, ErrEventTooLarge
		}
		var holdErr error
		if data, holdErr = r.grow(data, len(part)); holdErr != nil {
			return data, holdErr
		}
		data = append(data, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return data, err
		}
	}
}

// grow returns the data with room for n bytes more. While it is copied both copies are held.
func (r *eventReader) grow(data []byte, n int) ([]byte, error) {
	if len(data)+n <= cap(data) {
		return data, nil
	}
	size := max(2*cap(data), len(data)+n)
	if err := r.hold(cap(data) + size); err != nil {
		return data, err
	}
	grown := append(make([]byte, 0, size), data...)
	return grown, r.hold(size)
}
