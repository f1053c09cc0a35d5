package gateway

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// logRecorder keeps the lines of a logger. It is safe for concurrent use.
type logRecorder struct {
	mu  sync.Mutex
	out bytes.Buffer
}

// Write implements io.Writer.
func (r *logRecorder) Write(line []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.out.Write(line)
}

func (r *logRecorder) logger() *slog.Logger {
	return slog.New(slog.NewJSONHandler(r, nil))
}

// lines returns the fields of the lines with a message.
func (r *logRecorder) lines(t *testing.T, message string) []map[string]any {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []map[string]any
	for line := range bytes.Lines(r.out.Bytes()) {
		var fields map[string]any
		assert.NilError(t, json.Unmarshal(line, &fields))
		if fields[slog.MessageKey] == message {
			found = append(found, fields)
		}
	}
	return found
}

// withoutHeader removes the time, level and message of lines.
func withoutHeader(lines []map[string]any) []map[string]any {
	for _, fields := range lines {
		delete(fields, slog.TimeKey)
		delete(fields, slog.LevelKey)
		delete(fields, slog.MessageKey)
	}
	return lines
}
