package load

import (
	"math/rand/v2"
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/local/scenario"
)

// stream makes the arrivals of one rank, or the purchases. Its arrivals do
// not depend on other streams.
type stream struct {
	random *rand.Rand
	rate   func(at time.Duration) float64 // Calls a second.
	peak   float64
	class  Class
	rank   core.Rank
	large  []scenario.Organisation
	small  []scenario.Organisation
	load   scenario.Load
	resend float64
	at     time.Duration
}

// next returns the next arrival, or false after the end of the load. It
// draws at the peak rate and drops what exceeds the rate of the moment.
func (s *stream) next() (Arrival, bool) {
	for s.peak > 0 {
		gap := s.random.ExpFloat64() / s.peak // Seconds.
		if gap >= (s.load.Duration - s.at).Seconds() {
			break
		}
		s.at += time.Duration(gap * float64(time.Second))
		kept := s.random.Float64()*s.peak < s.rate(s.at)
		arrival := s.draw()
		if kept {
			return arrival, true
		}
	}
	return Arrival{}, false
}

// draw uses the same number of random values for each arrival.
func (s *stream) draw() Arrival {
	arrival := Arrival{At: s.at, Class: s.class, Rank: s.rank}
	arrival.From = s.organisation()
	arrival.Resend = s.random.Float64() < s.resend
	arrival.Overlap = s.random.IntN(2) == 0
	arrival.Prefix = s.random.IntN(prefixesPerOrganisation)
	return arrival
}

func (s *stream) organisation() scenario.Organisation {
	from := s.small
	if s.random.Float64() < s.load.LargeShare && len(s.large) > 0 {
		from = s.large
	}
	return from[s.random.IntN(len(from))]
}
