package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"time"

	"github.com/snipestep/snipestep/requesttimeline"
)

// unservedRequest is a request that the report names as not served.
type unservedRequest struct {
	sentAt time.Duration // Since the start of traffic.
	id     string
	entry  string // The entry that it was sent to.
}

// benchRun is the output of a bench run of one day.
type benchRun struct {
	output       []byte
	trafficStart time.Time // By the clock of the logs.
	unserved     []unservedRequest
}

var (
	// unservedLine matches an unserved request in the report, e.g.
	// "9.570 s  request 78e4 (note, a.example/b/) sent to edge-a-1".
	unservedLine = regexp.MustCompile(`(?m)^ *([0-9.]+) s +request ([0-9a-f]+) \(.*\) sent to (\S+)$`)
	// logLine matches a log line of the output: the seconds since the start of
	// traffic, the name of the machine and the record.
	logLine = regexp.MustCompile(`(?m)^ *(-?[0-9.]+) \S+ (\{.*\})$`)
)

// NoLogsError reports output without log lines.
type NoLogsError struct {
	Bytes int
}

// Error implements error.
func (e *NoLogsError) Error() string {
	return fmt.Sprintf("no log line in the %d bytes of the output: was the day run with --log all?", e.Bytes)
}

// parseOutput finds the unserved requests. Its errors are *NoLogsError and the errors
// of parsing the first log line or a time.
func parseOutput(output []byte) (*benchRun, error) {
	run := &benchRun{output: output}
	logMatch := logLine.FindSubmatch(output)
	if logMatch == nil {
		return nil, &NoLogsError{Bytes: len(output)}
	}
	sinceTrafficStart, err := parseSeconds(logMatch[1])
	if err != nil {
		return nil, err
	}
	var record struct {
		Time time.Time `json:"time"`
	}
	if err := json.Unmarshal(logMatch[2], &record); err != nil {
		return nil, fmt.Errorf("first log line: %w", err)
	}
	run.trafficStart = record.Time.Add(-sinceTrafficStart)
	for _, match := range unservedLine.FindAllSubmatch(output, -1) {
		sentAt, err := parseSeconds(match[1])
		if err != nil {
			return nil, err
		}
		run.unserved = append(run.unserved, unservedRequest{sentAt: sentAt, id: string(match[2]), entry: string(match[3])})
	}
	return run, nil
}

func parseSeconds(text []byte) (time.Duration, error) {
	value, err := strconv.ParseFloat(string(text), 64)
	if err != nil {
		return 0, fmt.Errorf("time %q in seconds: %w", text, err)
	}
	return time.Duration(value * float64(time.Second)), nil
}

// maxRequestDuration is the longest duration of a request. A kill of the entry explains
// an unserved request only if it came less than this after the request was sent.
const maxRequestDuration = 6 * time.Second

// findCause returns the cause that the logs give for an unserved request, and whether
// there is one.
func (run *benchRun) findCause(unserved unservedRequest) (string, bool, error) {
	timeline, err := requesttimeline.ReadTimeline(unserved.id, bytes.NewReader(run.output))
	if err != nil {
		return "", false, err
	}
	if end, ok := timeline.EndLine(); ok {
		return fmt.Sprintf("%v: %v %v", end.Fields["outcome"], fieldOrEmpty(end, "reason"), fieldOrEmpty(end, "error")), true, nil
	}
	sentAt := run.trafficStart.Add(unserved.sentAt)
	for _, restart := range timeline.Restarts {
		if restart.Instance == unserved.entry && !sentAt.After(restart.Again) && restart.Last.Before(sentAt.Add(maxRequestDuration)) {
			return fmt.Sprintf("entry killed after %.3f s, restarted at %.3f s", restart.Last.Sub(run.trafficStart).Seconds(), restart.Again.Sub(run.trafficStart).Seconds()), true, nil
		}
	}
	return "cause not found in the logs", false, nil
}

func fieldOrEmpty(line requesttimeline.Line, field string) any {
	if value := line.Fields[field]; value != nil {
		return value
	}
	return ""
}
