package strikes

import (
	"sync"
	"time"
)

const (
	// maxLoggedCrashes bounds the crashes that are remembered: several times the endpoints of a
	// large deployment.
	maxLoggedCrashes = 4096
	// crashMemory is how long a crash is remembered, longer than a strike counts.
	crashMemory = 5 * time.Minute
)

// crashLog remembers the crashes of endpoints, whatever was running there. A nil log remembers
// none. It is safe for concurrent use.
type crashLog struct {
	mu sync.Mutex
	at map[string]time.Time // By the text of CrashText.
}

func newCrashLog() *crashLog {
	return &crashLog{at: make(map[string]time.Time)}
}

// add records a crash at a time, the earliest that is reported.
func (l *crashLog) add(crash string, at time.Time) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if known, ok := l.at[crash]; ok && !at.Before(known) {
		return
	}
	if len(l.at) >= maxLoggedCrashes {
		l.forget(at)
	}
	l.at[crash] = at
}

// forget drops old crashes, and all of them if that makes no room. The caller holds mu.
func (l *crashLog) forget(now time.Time) {
	for crash, at := range l.at {
		if now.Sub(at) > crashMemory {
			delete(l.at, crash)
		}
	}
	if len(l.at) >= maxLoggedCrashes {
		clear(l.at)
	}
}

// count returns the number of crashes between two times.
func (l *crashLog) count(from, to time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	crashes := 0
	for _, at := range l.at {
		if !at.Before(from) && !at.After(to) {
			crashes++
		}
	}
	return crashes
}
