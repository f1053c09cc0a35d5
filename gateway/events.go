package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// event is one whole event of a stream, with its bytes unchanged.
type event struct {
	id   string // Empty if the event has none.
	data []byte
}

// eventReader cuts a stream into events.
type eventReader struct {
	lines *bufio.Reader
	// rest holds the begun event that the stream's end left unfinished.
	rest []byte
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{lines: bufio.NewReaderSize(r, eventBuffer)}
}

// eventBuffer holds several events of the sizes seen, some hundred bytes each.
const eventBuffer = 4 << 10

// next returns the next whole event. It blocks until there is one. At the
// stream's end it returns io.EOF, or io.ErrUnexpectedEOF if the end cut an
// event; other errors are those of the connection.
func (r *eventReader) next() (event, error) {
	var e event
	for {
		line, err := r.lines.ReadBytes('\n')
		e.data = append(e.data, line...)
		if err != nil {
			r.rest = e.data
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
