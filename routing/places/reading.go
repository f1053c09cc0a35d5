package places

import (
	"math"
	"time"
)

const (
	// mostReading bounds the time that an endpoint needs for the prompts that
	// wait to be read: an engine that opens empty would otherwise get as many
	// prompts at once as it has places, and answer none for a second.
	mostReading = 150 * time.Millisecond
	// readingCost is what a second of reading costs in the choice of an
	// endpoint, in parts of all slots.
	readingCost = 4.0
)

// reading is how long an endpoint needs for the prompts of this entry that it
// has not answered yet, counted for crowd entries.
func (s *state) reading(c *Config, crowd float64) time.Duration {
	if c.ReadRate <= 0 {
		return 0
	}
	tokens := 0.0
	for _, p := range s.own {
		if !p.begun {
			tokens += p.prompt
		}
	}
	return time.Duration(tokens * crowd / c.ReadRate * float64(time.Second))
}

// lateAfter is how long a first part takes at most where an endpoint has room
// and its link is free: a pass, a prompt and the way.
const lateAfter = 300 * time.Millisecond

const (
	// firstWeight is the weight of the newest first part in the mean.
	firstWeight = 0.5
	// firstHalf is the time in which what is known of first parts counts half
	// as much: an endpoint that is left alone is tried again after seconds.
	firstHalf = time.Second
)

// firstParts is how much longer than usual first parts of answers take at an
// endpoint. One that goes on with older requests may be out of reach for new
// ones, as behind a link that has become narrow.
type firstParts struct {
	mean time.Duration // Beyond lateAfter, as of at.
	at   time.Time
}

// now returns the mean, faded since the last answer.
func (f *firstParts) now(now time.Time) time.Duration {
	if f.mean == 0 {
		return 0
	}
	return time.Duration(float64(f.mean) * math.Exp2(-now.Sub(f.at).Seconds()/firstHalf.Seconds()))
}

// add takes in a request whose first part took a time, or did not come in it.
func (f *firstParts) add(now time.Time, took time.Duration) {
	beyond := max(took-lateAfter, 0)
	f.mean = time.Duration((1-firstWeight)*float64(f.now(now)) + firstWeight*float64(beyond))
	f.at = now
}

// late is how much longer than usual the first part of a new answer will take:
// as the last ones did, or as this entry's oldest request waits already.
func (s *state) late(now time.Time) time.Duration {
	var oldest time.Duration
	for _, p := range s.own {
		if !p.begun {
			oldest = max(oldest, now.Sub(p.sent))
		}
	}
	return max(oldest-lateAfter, s.first.now(now))
}

// Progress notes that an endpoint sent a part of the answer to a request, and
// reports whether it was the first.
func (p *Pool) Progress(now time.Time, endpoint string, id uint64) (first bool) {
	s := p.endpoints[endpoint]
	if s == nil {
		return false
	}
	s.progress = now
	placed, ok := s.own[id]
	if !ok || placed.begun {
		return false
	}
	placed.begun = true
	s.own[id] = placed
	s.first.add(now, now.Sub(placed.sent))
	return true
}
