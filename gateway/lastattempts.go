package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// maxAttemptVersions bounds the versions of a service whose last attempt is kept. More
// than three are seldom in use at the same time: two that are loaded, and one that is
// still allowed.
const maxAttemptVersions = 4

// lastAttempts holds when a request was last sent to an endpoint of each version. It is
// safe for concurrent use.
type lastAttempts struct {
	mu sync.Mutex
	// sentAt holds the times by service and version.
	sentAt map[string]map[uint64]time.Time
}

func newLastAttempts() *lastAttempts {
	return &lastAttempts{sentAt: make(map[string]map[uint64]time.Time)}
}

// record records an attempt. Beyond maxAttemptVersions, the version with the oldest
// attempt is dropped.
func (l *lastAttempts) record(now time.Time, service string, version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	times := l.sentAt[service]
	if times == nil {
		times = make(map[uint64]time.Time)
		l.sentAt[service] = times
	}
	times[version] = now
	if len(times) > maxAttemptVersions {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(times)), func(a, b uint64) int { return times[a].Compare(times[b]) })
		delete(times, oldest)
	}
}

// byVersion returns the times of the last attempts of a service.
func (l *lastAttempts) byVersion(service string) map[uint64]time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.sentAt[service])
}
