package requesttimeline

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"time"
)

const (
	// maxLineBytes limits the length of a line; records are far shorter.
	maxLineBytes = 1 << 20
	// maxPrintedErrors limits the parse errors that Write prints.
	maxPrintedErrors = 3
	// endpointWindow is how long before and after a request the lines about its
	// endpoints are included in its timeline.
	endpointWindow = 2 * time.Second
)

// The messages that a timeline is built from.
const (
	messageRequestEnded  = "request ended"
	messageAttemptFailed = "attempt failed"
)

// Timeline contains the log lines about one request. The field names of
// this type, Line, Restart and LineError appear in the JSON output of snipestepctl.
type Timeline struct {
	Request string // Identifier of the request.
	Lines   []Line // Lines of the request, sorted by time.
	// Beside are the lines that the request's entries logged about its
	// endpoints within endpointWindow of the request, sorted by time.
	Beside []Line
	// Restarts lists the restarts of killed processes in all lines read, not only
	// in those of the request.
	Restarts []Restart
	// Read is the number of lines read; Faults holds an error for each that cannot
	// be parsed.
	Read   int
	Faults []error
}

// ReadTimeline reads all lines and returns the timeline of a request. It returns the
// error of a reader; lines that cannot be parsed are recorded in Faults.
func ReadTimeline(request string, readers ...io.Reader) (*Timeline, error) {
	timeline := &Timeline{Request: request}
	var endpointLines []Line
	detector := newRestartDetector()
	for _, reader := range readers {
		scanner := bufio.NewScanner(reader)
		scanner.Buffer(nil, maxLineBytes)
		for lineNumber := 1; scanner.Scan(); lineNumber++ {
			timeline.Read++
			line, err := parseLine(scanner.Bytes())
			if err == nil {
				detector.observe(line)
			}
			switch {
			case err != nil:
				timeline.Faults = append(timeline.Faults, &LineError{Number: lineNumber, Cause: err})
			case line.Fields[fieldRequest] == request:
				timeline.Lines = append(timeline.Lines, line)
			case line.Fields[fieldRequest] == nil && line.Fields[fieldEndpoint] != nil:
				endpointLines = append(endpointLines, line)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, fmt.Errorf("reading log lines: %w", err)
		}
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(timeline.Lines, byTime)
	timeline.addEndpointLines(endpointLines)
	timeline.Restarts = detector.restarts
	slices.SortStableFunc(timeline.Beside, byTime)
	return timeline, nil
}

// addEndpointLines adds the candidates that the request's entries logged about its
// endpoints within endpointWindow of the request.
func (t *Timeline) addEndpointLines(candidates []Line) {
	if len(t.Lines) == 0 {
		return
	}
	endpoints := make(map[any]bool)
	instances := make(map[string]bool)
	for _, l := range t.Lines {
		instances[l.Instance] = true
		if id := l.Fields[fieldEndpoint]; id != nil && id != "" {
			endpoints[id] = true
		}
	}
	from, to := t.Lines[0].Time.Add(-endpointWindow), t.Lines[len(t.Lines)-1].Time.Add(endpointWindow)
	for _, l := range candidates {
		inWindow := !l.Time.Before(from) && !l.Time.After(to)
		if inWindow && endpoints[l.Fields[fieldEndpoint]] && instances[l.Instance] {
			t.Beside = append(t.Beside, l)
		}
	}
}

// EndLine returns the line that logs the end of the request, if there is one.
func (t *Timeline) EndLine() (Line, bool) {
	index := slices.IndexFunc(t.Lines, func(l Line) bool { return l.Message == messageRequestEnded })
	if index < 0 {
		return Line{}, false
	}
	return t.Lines[index], true
}

// Gaps describes what is missing from the logs.
func (t *Timeline) Gaps() []string {
	var gaps []string
	end, ok := t.EndLine()
	switch {
	case len(t.Lines) == 0:
		gaps = append(gaps, "no line names the request: it reached no entry whose log was read, or its lines were dropped above the rate limit")
	case !ok:
		gaps = append(gaps, "no line logs the end of the request: the entry was killed, or the line was dropped")
	case end.Fields["outcome"] == "answered":
		// Nothing is missing.
	case end.Fields["arrivals"] != nil && asFloat(end.Fields["arrivals"]) > t.countFailedAttempts():
		gaps = append(gaps, "fewer failed attempts are logged than endpoints were reached: lines were dropped")
	}
	if len(t.Faults) > 0 {
		gaps = append(gaps, fmt.Sprintf("%d of %d lines could not be read", len(t.Faults), t.Read))
	}
	return gaps
}

func (t *Timeline) countFailedAttempts() float64 {
	count := 0.0
	for _, l := range t.Lines {
		if l.Message == messageAttemptFailed {
			count++
		}
	}
	return count
}

func asFloat(value any) float64 {
	number, _ := value.(float64)
	return number
}

// Write prints the timeline.
func (t *Timeline) Write(w io.Writer) error {
	var err error
	printf := func(format string, values ...any) {
		if err == nil {
			_, err = fmt.Fprintf(w, format, values...)
		}
	}
	printf("request %s\n", t.Request)
	for _, l := range t.Lines {
		printf("  %s\n", l)
	}
	if len(t.Beside) > 0 {
		printf("its endpoints meanwhile\n")
	}
	for _, l := range t.Beside {
		printf("  %s\n", l)
	}
	if _, ok := t.EndLine(); !ok && len(t.Restarts) > 0 {
		printf("processes that were killed\n")
		for _, r := range t.Restarts {
			printf("  %s\n", r)
		}
	}
	for _, gap := range t.Gaps() {
		printf("not told: %s\n", gap)
	}
	for _, parseErr := range t.Faults[:min(len(t.Faults), maxPrintedErrors)] {
		printf("  %v\n", parseErr)
	}
	return err
}
