package places

import "time"

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
	return true
}
