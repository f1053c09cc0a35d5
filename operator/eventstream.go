package operator

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// ErrStreamEnded reports that the server closed the status stream.
var ErrStreamEnded = eris.New("the server ended the status stream")

// ErrNoStatus reports a status stream that goes on without a status.
var ErrNoStatus = eris.New("the server sends bytes without a status")

const (
	eventStreamType = "text/event-stream"
	maxEventBytes   = 8 << 20
)

var dataPrefix = []byte("data:")

// watch responds with server-sent events of type status.
func (h *handler) watch(w http.ResponseWriter, r *http.Request) {
	started := false
	send := func(s Status) error {
		if !started {
			started = true
			writeEventHeaders(w)
		}
		return writeEvent(w, s)
	}
	err := h.service.Watch(r.Context(), send)
	if err != nil && !started {
		writeError(w, r, err)
	}
}

func writeEventHeaders(w http.ResponseWriter) {
	w.Header().Set("Content-Type", eventStreamType)
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
}

const eventWriteTimeout = 10 * time.Second

func writeEvent(w http.ResponseWriter, s Status) error {
	data, err := json.Marshal(s)
	if err != nil {
		return eris.Wrap(err, "encode status")
	}
	control := http.NewResponseController(w)
	// If the writer does not support deadlines, the server's timeout applies.
	_ = control.SetWriteDeadline(time.Now().Add(eventWriteTimeout))
	for _, part := range [][]byte{[]byte("event: status\ndata: "), data, []byte("\n\n")} {
		if _, err := w.Write(part); err != nil {
			return eris.Wrap(err, "write status event")
		}
	}
	if err := control.Flush(); err != nil {
		return eris.Wrap(err, "flush status event")
	}
	return nil
}

// readEvents calls receive with each status of an event stream. It fails if more
// than maxEventBytes bring no status.
func readEvents(body io.Reader, receive func(Status) error) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventBytes)
	bytesWithoutStatus := 0
	for scanner.Scan() {
		data, ok := bytes.CutPrefix(scanner.Bytes(), dataPrefix)
		if !ok {
			bytesWithoutStatus += len(scanner.Bytes()) + len("\n")
			if bytesWithoutStatus > maxEventBytes {
				return ErrNoStatus
			}
			continue
		}
		bytesWithoutStatus = 0
		var s Status
		if err := json.Unmarshal(data, &s); err != nil {
			return eris.Wrap(err, "decode status event")
		}
		if err := receive(s); err != nil {
			return err
		}
	}
	if err := scanner.Err(); err != nil {
		return eris.Wrap(err, "read status events")
	}
	return ErrStreamEnded
}
