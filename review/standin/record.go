//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes record.txt: a line for each thing that was sent, answered or run, with the
// seconds since the start.
type record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: file}, nil
}

// say writes a line of record.txt.
func (r *record) say(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %-10s %s\n", time.Since(r.start).Seconds(), who, fmt.Sprintf(format, args...))
}
