package logstory

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"time"
)

const (
	// maxLine bounds a line in bytes; records are far shorter.
	maxLine = 1 << 20
	// maxShownFaults is how many unreadable lines a story names.
	maxShownFaults = 3
	// around is how long before and after a request the lines of its
	// endpoints belong to its story.
	around = 2 * time.Second
)

// The messages that a story looks for.
const (
	messageEnded   = "request ended"
	messageAttempt = "attempt failed"
)

// Story is what the lines tell of one request.
type Story struct {
	Request string
	Lines   []Line // Of the request, in order of time.
	// Beside are lines of the request's entries about its endpoints, around
	// its time.
	Beside []Line
	// Restarts are the processes that were killed, of all lines.
	Restarts []Restart
	// Read counts all lines, Faults those that could not be read.
	Read   int
	Faults []error
}

// Tell reads all lines and returns the story of a request. It returns the
// error of a reader; unreadable lines are counted.
func Tell(request string, readers ...io.Reader) (*Story, error) {
	s := &Story{Request: request}
	var others []Line
	processes := newLives()
	for _, reader := range readers {
		lines := bufio.NewScanner(reader)
		lines.Buffer(nil, maxLine)
		for number := 1; lines.Scan(); number++ {
			s.Read++
			line, err := parse(lines.Bytes())
			if err == nil {
				processes.see(line)
			}
			switch {
			case err != nil:
				s.Faults = append(s.Faults, &LineError{Number: number, Cause: err})
			case line.Fields[fieldRequest] == request:
				s.Lines = append(s.Lines, line)
			case line.Fields[fieldRequest] == nil && line.Fields[fieldEndpoint] != nil:
				others = append(others, line)
			}
		}
		if err := lines.Err(); err != nil {
			return nil, fmt.Errorf("reading log lines: %w", err)
		}
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(s.Lines, byTime)
	s.addBeside(others)
	s.Restarts = processes.restarts
	slices.SortStableFunc(s.Beside, byTime)
	return s, nil
}

// addBeside keeps what was logged of the request's endpoints around its time.
func (s *Story) addBeside(others []Line) {
	if len(s.Lines) == 0 {
		return
	}
	endpoints := make(map[any]bool)
	instances := make(map[string]bool)
	for _, l := range s.Lines {
		instances[l.Instance] = true
		if id := l.Fields[fieldEndpoint]; id != nil && id != "" {
			endpoints[id] = true
		}
	}
	from, to := s.Lines[0].Time.Add(-around), s.Lines[len(s.Lines)-1].Time.Add(around)
	for _, l := range others {
		near := !l.Time.Before(from) && !l.Time.After(to)
		if near && endpoints[l.Fields[fieldEndpoint]] && instances[l.Instance] {
			s.Beside = append(s.Beside, l)
		}
	}
}

// Ended returns the line of the request's end, and whether there is one.
func (s *Story) Ended() (Line, bool) {
	at := slices.IndexFunc(s.Lines, func(l Line) bool { return l.Message == messageEnded })
	if at < 0 {
		return Line{}, false
	}
	return s.Lines[at], true
}

// Missing says what the lines do not tell.
func (s *Story) Missing() []string {
	var missing []string
	end, ok := s.Ended()
	switch {
	case len(s.Lines) == 0:
		missing = append(missing, "no line names the request: it reached no entry whose log was read, or its lines were dropped above the rate")
	case !ok:
		missing = append(missing, "no line tells its end: the entry was killed, or the line was dropped")
	case end.Fields["outcome"] == "answered":
		// Whole.
	case end.Fields["arrivals"] != nil && number(end.Fields["arrivals"]) > s.attempts():
		missing = append(missing, "fewer attempts are told than endpoints were reached: lines were dropped")
	}
	if len(s.Faults) > 0 {
		missing = append(missing, fmt.Sprintf("%d of %d lines could not be read", len(s.Faults), s.Read))
	}
	return missing
}

func (s *Story) attempts() float64 {
	n := 0.0
	for _, l := range s.Lines {
		if l.Message == messageAttempt {
			n++
		}
	}
	return n
}

func number(v any) float64 {
	n, _ := v.(float64)
	return n
}

// Write prints the story.
func (s *Story) Write(w io.Writer) error {
	var err error
	print := func(format string, values ...any) {
		if err == nil {
			_, err = fmt.Fprintf(w, format, values...)
		}
	}
	print("request %s\n", s.Request)
	for _, l := range s.Lines {
		print("  %s\n", l)
	}
	if len(s.Beside) > 0 {
		print("its endpoints meanwhile\n")
	}
	for _, l := range s.Beside {
		print("  %s\n", l)
	}
	if _, ok := s.Ended(); !ok && len(s.Restarts) > 0 {
		print("processes that were killed\n")
		for _, r := range s.Restarts {
			print("  %s\n", r)
		}
	}
	for _, m := range s.Missing() {
		print("not told: %s\n", m)
	}
	for _, fault := range s.Faults[:min(len(s.Faults), maxShownFaults)] {
		print("  %v\n", fault)
	}
	return err
}
