package admissionsim

import (
	"math/rand/v2"
	"time"
)

// Speeds describes how the speeds of engines change. The zero value leaves all at the usual speed.
type Speeds struct {
	// Slow is the fraction of the engines that is slow at a time, Factor how much longer their
	// passes take.
	Slow, Factor float64
	// Redraw is how often the slow engines are drawn anew.
	Redraw time.Duration
	// Used says that the pools use the slowdown in reports.
	Used bool
}

// speedStream is the stream of random numbers for speeds, so that they leave the arrivals of a
// seed as they are.
const speedStream = 7

// drawSpeeds draws the slow engines anew when it is time.
func (s *simulation) drawSpeeds() {
	speeds := s.pattern.Speeds
	if speeds.Redraw == 0 || s.now.Sub(s.start)%speeds.Redraw != 0 {
		return
	}
	if s.speedRand == nil {
		s.speedRand = rand.New(rand.NewPCG(s.seed, speedStream))
	}
	for _, id := range s.engineIDs {
		s.engines[id].slowdown = 1
		if s.speedRand.Float64() < speeds.Slow {
			s.engines[id].slowdown = speeds.Factor
		}
	}
}

// loadReport is a report on its way to the entries.
type loadReport struct {
	arrivesAt        time.Time
	engineID         string
	running, waiting int
	demand, slowdown float64
}

// newReport returns the report of an engine at this moment.
func (s *simulation) newReport(engineID string, demand float64) loadReport {
	e := s.engines[engineID]
	running, waiting := e.load()
	return loadReport{arrivesAt: s.now.Add(s.pattern.ReportDelay), engineID: engineID, running: running, waiting: waiting, demand: demand, slowdown: e.slowdown}
}

// deliverReports passes on the reports that arrive by now.
func (s *simulation) deliverReports() {
	for len(s.reports) > 0 && !s.reports[0].arrivesAt.After(s.now) {
		report := s.reports[0]
		s.reports = s.reports[1:]
		for _, p := range s.policies {
			p.report(s.now, report)
		}
	}
}
