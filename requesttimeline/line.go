package requesttimeline

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Line is one log line.
type Line struct {
	Time     time.Time
	Instance string
	Message  string
	Fields   map[string]any // All fields of the record.
}

// LineError reports a line that is not a valid log record.
type LineError struct {
	Number int // Starts at 1.
	Cause  error
}

// Error implements error.
func (e *LineError) Error() string {
	return fmt.Sprintf("line %d holds no record: %v", e.Number, e.Cause)
}

// Unwrap returns the cause.
func (e *LineError) Unwrap() error {
	return e.Cause
}

// The log fields that a timeline is built from.
const (
	fieldTime     = "time"
	fieldMessage  = "msg"
	fieldInstance = "instance"
	fieldRequest  = "request"
	fieldEndpoint = "endpoint"
)

// omittedFields are the fields that Line.String prints elsewhere or not at all.
var omittedFields = []string{fieldTime, fieldMessage, fieldInstance, fieldRequest, "level", "program"}

// parseLine parses one line. Text in front of the record is skipped.
func parseLine(text []byte) (Line, error) {
	if start := bytes.IndexByte(text, '{'); start > 0 {
		text = text[start:]
	}
	var l Line
	if err := json.Unmarshal(text, &l.Fields); err != nil {
		return l, err
	}
	l.Message, _ = l.Fields[fieldMessage].(string)
	l.Instance, _ = l.Fields[fieldInstance].(string)
	timestamp, _ := l.Fields[fieldTime].(string)
	var err error
	l.Time, err = time.Parse(time.RFC3339Nano, timestamp)
	return l, err
}

// String returns the line as printed in a timeline.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s  %-18s %s", l.Time.Format("15:04:05.000"), l.Instance, l.Message)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if !slices.Contains(omittedFields, name) && l.Fields[name] != "" && l.Fields[name] != nil {
			fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
		}
	}
	return b.String()
}
