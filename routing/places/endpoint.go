package places

import "time"

// Endpoint is what a Pool is told of one endpoint.
type Endpoint struct {
	ID     string
	Region string
	Slots  int
	// Held is the version of the weights as the endpoint list has it.
	Held uint64
	// Draining endpoints get nothing new.
	Draining bool
}

// slowPace is the pace above which an endpoint is used only if no other one
// has room: a first event would take more than half as long again.
const slowPace = 1.6

// place is one request at an endpoint.
type place struct {
	sent   time.Time
	prompt float64 // Tokens.
	begun  bool    // A part of the answer has come.
}

// state is what a Pool knows of one endpoint.
type state struct {
	Endpoint
	report Report
	// own holds this entry's requests at the endpoint.
	own map[uint64]place
	// ended counts own requests that the report still counts.
	ended  int
	health health
	first  firstParts
	quota  quota
	// since is when the endpoint became known.
	since time.Time
	// progress is when it last sent a part of an answer.
	progress time.Time
}

// seen reports whether a request sent at a time is counted by the report.
func (s *state) seen(sent time.Time, lag time.Duration) bool {
	return sent.Before(s.report.At.Add(-lag))
}

// load estimates the requests at the endpoint, of all entries. A request of
// this entry that no report counts yet stands for crowd requests: where
// requests wait, the other entries send theirs to the same free places.
func (s *state) load(now time.Time, c *Config, entries int, crowd float64) float64 {
	if now.Sub(s.report.At) > c.ReportAge {
		if !c.Reported {
			return float64(len(s.own))
		}
		return float64(len(s.own) * max(entries, 1))
	}
	load := float64(s.report.Running + s.report.Waiting - s.ended)
	for _, p := range s.own {
		if !s.seen(p.sent, c.ReportLag) {
			load += crowd
		}
	}
	return max(load, float64(len(s.own)))
}

// held returns the version that the endpoint serves, by the newest source.
func (s *state) held(now time.Time, c *Config) uint64 {
	if c.Reported && now.Sub(s.report.At) <= c.ReportAge {
		return s.report.Held
	}
	return s.Held
}

func (s *state) setReport(r Report) {
	s.report = r
	s.ended = 0
}

// aliveFor is how long the last part of an answer shows that an endpoint works:
// a pass of a full engine that reads prompts takes a third of it.
const aliveFor = 500 * time.Millisecond

// quietAfter is how long the reports of an agent may stay out: it sends one
// every 0.2 s at least, and one may be lost.
const quietAfter = 450 * time.Millisecond

// quiet reports whether an agent that reported before has fallen silent.
func (s *state) quiet(now time.Time, c *Config) bool {
	return c.Reported && !s.report.At.IsZero() && now.Sub(s.report.At) > quietAfter
}

// usualDelay is how long the way to an endpoint and back takes at most while
// chunks of weights move over its link at their usual pace.
const usualDelay = 100 * time.Millisecond

// detour is how much longer than usual the way to the endpoint takes, as when
// its link is narrow or full: the first event comes later by as much, and the
// endpoint hears so much later that a caller has left.
func (s *state) detour() time.Duration {
	return max(s.report.Delay-usualDelay, 0)
}

// closing reports whether a fresh report says that the endpoint will close.
func (s *state) closing(now time.Time, c *Config) bool {
	return !s.report.ClosesAt.IsZero() && now.Sub(s.report.At) <= c.ReportAge
}

// slow reports whether the endpoint works far below its usual pace.
func (s *state) slow(now time.Time, c *Config) bool {
	return s.report.Pace > slowPace && now.Sub(s.report.At) <= c.ReportAge
}
