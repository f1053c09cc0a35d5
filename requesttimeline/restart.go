package requesttimeline

import (
	"fmt"
	"time"
)

// Restart is a restart of a process that did not log its end: it was killed, and
// the requests that it was handling were lost.
type Restart struct {
	Instance string
	Last     time.Time // Time of the last line before the restart.
	Again    time.Time // Time of the first line after the restart.
}

// String returns the restart as printed in a timeline.
func (r Restart) String() string {
	const layout = "15:04:05.000"
	return fmt.Sprintf("%s  %-18s wrote its last line at %s and started again: killed", r.Again.Format(layout), r.Instance, r.Last.Format(layout))
}

// The messages at the start and end of a process.
const (
	messageProcessStarted = "started"
	messageProcessEnded   = "ended"
)

// restartDetector finds the restarts of killed processes. It must observe the lines
// of each process in order.
type restartDetector struct {
	lastLineByInstance map[string]Line
	restarts           []Restart
}

func newRestartDetector() *restartDetector {
	return &restartDetector{lastLineByInstance: make(map[string]Line)}
}

func (d *restartDetector) observe(line Line) {
	previous, known := d.lastLineByInstance[line.Instance]
	if line.Message == messageProcessStarted && known && previous.Message != messageProcessEnded {
		d.restarts = append(d.restarts, Restart{Instance: line.Instance, Last: previous.Time, Again: line.Time})
	}
	d.lastLineByInstance[line.Instance] = line
}
