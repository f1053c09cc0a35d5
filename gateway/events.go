package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// event is one complete event of a stream, with its bytes unchanged.
type event struct {
	id   string // Empty if the event has none.
	data []byte
}

// eventReader splits a stream into events.
type eventReader struct {
	lines *bufio.Reader
	// partial holds the incomplete event at the end of the stream.
	partial []byte
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{lines: bufio.NewReaderSize(r, eventBufferBytes)}
}

// eventBufferBytes fits several events of some hundred bytes each.
const eventBufferBytes = 4 << 10

// next blocks until it can return the next complete event. At the end of the
// stream it returns io.EOF, or io.ErrUnexpectedEOF if an event is incomplete;
// other errors come from the connection.
func (r *eventReader) next() (event, error) {
	var e event
	for {
		line, err := r.lines.ReadBytes('\n')
		e.data = append(e.data, line...)
		if err != nil {
			r.partial = e.data
			if errors.Is(err, io.EOF) && len(e.data) > 0 {
				return event{}, io.ErrUnexpectedEOF
			}
			return event{}, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return e, nil
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			e.id = string(bytes.TrimSpace(value))
		}
	}
}
