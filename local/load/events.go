package load

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/problem"
)

const maxEventBytes = 1 << 20

const (
	eventNamePrefix = "event:"
	errorEventName  = "error"
	eventDataPrefix = "data:"
	endOfStreamData = "[DONE]"
)

// event is one server-sent event of a completion.
type event struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	// problem is set in the event that ends an aborted stream.
	problem *problem.Problem
	done    bool
}

// content returns the text of the event.
func (e *event) content() string {
	var text strings.Builder
	for _, choice := range e.Choices {
		text.WriteString(choice.Delta.Content)
	}
	return text.String()
}

// eventReader reads server-sent events.
type eventReader struct {
	lines *bufio.Scanner
}

func newEventReader(body io.Reader) *eventReader {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventBytes)
	return &eventReader{lines: lines}
}

// next blocks until the next event arrives. It returns
// io.ErrUnexpectedEOF at the end of the body.
func (r *eventReader) next() (*event, error) {
	name := ""
	for r.lines.Scan() {
		if value, ok := strings.CutPrefix(r.lines.Text(), eventNamePrefix); ok {
			name = strings.TrimSpace(value)
		}
		if data, ok := strings.CutPrefix(r.lines.Text(), eventDataPrefix); ok {
			return decodeEvent(name, strings.TrimSpace(data))
		}
	}
	if err := r.lines.Err(); err != nil {
		return nil, eris.Wrap(err, "read the event stream")
	}
	return nil, io.ErrUnexpectedEOF
}

func decodeEvent(name, data string) (*event, error) {
	if name == errorEventName {
		document := &problem.Problem{}
		err := json.Unmarshal([]byte(data), document)
		return &event{problem: document}, eris.Wrap(err, "decode the problem of an event stream")
	}
	if data == endOfStreamData {
		return &event{done: true}, nil
	}
	var decoded event
	if err := json.Unmarshal([]byte(data), &decoded); err != nil {
		return nil, eris.Wrap(err, "decode an event of a completion")
	}
	return &decoded, nil
}
