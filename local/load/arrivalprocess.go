package load

import (
	"math/rand/v2"
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/local/scenario"
)

// arrivalProcess is the Poisson process of the arrivals of one rank, or of the
// purchases. It does not depend on other processes.
type arrivalProcess struct {
	random             *rand.Rand
	rate               func(at time.Duration) float64 // Calls per second.
	peakRate           float64
	class              Class
	rank               core.Rank
	largeOrganisations []scenario.Organisation
	smallOrganisations []scenario.Organisation
	load               scenario.Load
	resendRatio        float64
	lastAt             time.Duration
}

// next returns the next arrival, or false after the end of the load. It draws
// arrivals at the peak rate and thins them to the current rate.
func (p *arrivalProcess) next() (Arrival, bool) {
	for p.peakRate > 0 {
		gap := p.random.ExpFloat64() / p.peakRate // Seconds.
		if gap >= (p.load.Duration - p.lastAt).Seconds() {
			break
		}
		p.lastAt += time.Duration(gap * float64(time.Second))
		accepted := p.random.Float64()*p.peakRate < p.rate(p.lastAt)
		arrival := p.draw()
		if accepted {
			return arrival, true
		}
	}
	return Arrival{}, false
}

// draw takes the same number of random values for each arrival, whatever the ratios,
// so that changing a ratio does not change the times of the arrivals.
func (p *arrivalProcess) draw() Arrival {
	arrival := Arrival{At: p.lastAt, Class: p.class, Rank: p.rank}
	arrival.Organisation = p.drawOrganisation()
	arrival.Resend = p.random.Float64() < p.resendRatio
	arrival.Overlap = p.random.IntN(2) == 0
	arrival.PrefixIndex = p.random.IntN(prefixesPerOrganisation)
	return arrival
}

func (p *arrivalProcess) drawOrganisation() scenario.Organisation {
	candidates := p.smallOrganisations
	if p.random.Float64() < p.load.LargeShare && len(p.largeOrganisations) > 0 {
		candidates = p.largeOrganisations
	}
	return candidates[p.random.IntN(len(candidates))]
}
