package logstory

import (
	"fmt"
	"time"
)

// Restart is a process that started again without a word at its end: it was
// killed, and the requests that it held ended with it.
type Restart struct {
	Instance string
	Last     time.Time // Its last line before.
	Again    time.Time
}

// String returns the restart as a story tells it.
func (r Restart) String() string {
	const layout = "15:04:05.000"
	return fmt.Sprintf("%s  %-18s wrote its last line at %s and started again: killed", r.Again.Format(layout), r.Instance, r.Last.Format(layout))
}

// The messages of a process's life.
const (
	messageProcessStarted = "started"
	messageProcessEnded   = "ended"
)

// lives follows the processes of the lines that it is shown, in each
// process's order.
type lives struct {
	last     map[string]Line
	restarts []Restart
}

func newLives() *lives {
	return &lives{last: make(map[string]Line)}
}

func (l *lives) see(line Line) {
	before, known := l.last[line.Instance]
	if line.Message == messageProcessStarted && known && before.Message != messageProcessEnded {
		l.restarts = append(l.restarts, Restart{Instance: line.Instance, Last: before.Time, Again: line.Time})
	}
	l.last[line.Instance] = line
}
