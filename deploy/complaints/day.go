package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"time"

	"github.com/snipestep/snipestep/logstory"
)

// complaint is a request that the report names as not served.
type complaint struct {
	sent    time.Duration // Since the start of traffic.
	request string
	entry   string // To which it was sent.
}

// day is the output of one day.
type day struct {
	output     []byte
	start      time.Time // Start of traffic on the clocks of the logs.
	complaints []complaint
}

var (
	// complaintLine is how the report names a request, e.g.
	// "9.570 s  request 78e4 (note, a.example/b/) sent to edge-a-1".
	complaintLine = regexp.MustCompile(`(?m)^ *([0-9.]+) s +request ([0-9a-f]+) \(.*\) sent to (\S+)$`)
	// loggedLine is a log line behind the day's time and the machine's name.
	loggedLine = regexp.MustCompile(`(?m)^ *(-?[0-9.]+) \S+ (\{.*\})$`)
)

// NoLogsError reports an output without a log line.
type NoLogsError struct {
	Bytes int
}

// Error implements error.
func (e *NoLogsError) Error() string {
	return fmt.Sprintf("no log line in the %d bytes of the output: was the day run with --log all?", e.Bytes)
}

// read finds the complaints of an output. It returns *NoLogsError, or the error
// of a figure.
func read(output []byte) (*day, error) {
	d := &day{output: output}
	logged := loggedLine.FindSubmatch(output)
	if logged == nil {
		return nil, &NoLogsError{Bytes: len(output)}
	}
	at, err := seconds(logged[1])
	if err != nil {
		return nil, err
	}
	var record struct {
		Time time.Time `json:"time"`
	}
	if err := json.Unmarshal(logged[2], &record); err != nil {
		return nil, fmt.Errorf("first log line: %w", err)
	}
	d.start = record.Time.Add(-at)
	for _, found := range complaintLine.FindAllSubmatch(output, -1) {
		sent, err := seconds(found[1])
		if err != nil {
			return nil, err
		}
		d.complaints = append(d.complaints, complaint{sent: sent, request: string(found[2]), entry: string(found[3])})
	}
	return d, nil
}

func seconds(text []byte) (time.Duration, error) {
	value, err := strconv.ParseFloat(string(text), 64)
	if err != nil {
		return 0, fmt.Errorf("time %q in seconds: %w", text, err)
	}
	return time.Duration(value * float64(time.Second)), nil
}

// killSlack is how long after a request was sent the kill of its entry may come
// and still explain it: requests live for six seconds at most.
const killSlack = 6 * time.Second

// cause returns what the logs give as the cause of a complaint.
func (d *day) cause(c complaint) (string, bool, error) {
	story, err := logstory.Tell(c.request, bytes.NewReader(d.output))
	if err != nil {
		return "", false, err
	}
	if end, ok := story.Ended(); ok {
		return fmt.Sprintf("%v: %v %v", end.Fields["outcome"], told(end, "reason"), told(end, "error")), true, nil
	}
	sent := d.start.Add(c.sent)
	for _, r := range story.Restarts {
		if r.Instance == c.entry && !sent.After(r.Again) && r.Last.Before(sent.Add(killSlack)) {
			return fmt.Sprintf("entry killed after %.3f s, back at %.3f s", r.Last.Sub(d.start).Seconds(), r.Again.Sub(d.start).Seconds()), true, nil
		}
	}
	return "no line tells it", false, nil
}

func told(l logstory.Line, field string) any {
	if value := l.Fields[field]; value != nil {
		return value
	}
	return ""
}
