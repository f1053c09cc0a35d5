package load

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/local/scenario"
)

// Schedule yields the arrivals of a scenario in order of time. It depends only on
// the scenario.
type Schedule struct {
	processes     []*arrivalProcess
	upcoming      []Arrival // The next arrival of each process.
	crashArrivals []Arrival
	assignedIDs   int // Number of IDs assigned so far.
}

// NewSchedule returns the schedule of a scenario.
func NewSchedule(s *scenario.Scenario) *Schedule {
	schedule := &Schedule{crashArrivals: crashArrivals(s)}
	for _, rank := range core.Ranks {
		schedule.addProcess(newRankProcess(s, rank))
	}
	schedule.addProcess(newPurchaseProcess(s))
	return schedule
}

// Next returns the next arrival, or false after the last one.
func (s *Schedule) Next() (Arrival, bool) {
	first := s.earliest()
	if len(s.crashArrivals) > 0 && (first < 0 || s.crashArrivals[0].At < s.upcoming[first].At) {
		arrival := s.crashArrivals[0]
		s.crashArrivals = s.crashArrivals[1:]
		return s.assignID(arrival), true
	}
	if first < 0 {
		return Arrival{}, false
	}
	arrival := s.upcoming[first]
	s.advance(first)
	return s.assignID(arrival), true
}

func (s *Schedule) assignID(arrival Arrival) Arrival {
	s.assignedIDs++
	arrival.ID = fmt.Sprintf("c%07d", s.assignedIDs)
	return arrival
}

func (s *Schedule) addProcess(process *arrivalProcess) {
	if arrival, ok := process.next(); ok {
		s.processes = append(s.processes, process)
		s.upcoming = append(s.upcoming, arrival)
	}
}

// earliest returns the index of the process with the earliest next arrival, or -1.
func (s *Schedule) earliest() int {
	first := -1
	for i := range s.upcoming {
		if first < 0 || s.upcoming[i].At < s.upcoming[first].At {
			first = i
		}
	}
	return first
}

func (s *Schedule) advance(i int) {
	if arrival, ok := s.processes[i].next(); ok {
		s.upcoming[i] = arrival
		return
	}
	s.processes = append(s.processes[:i], s.processes[i+1:]...)
	s.upcoming = append(s.upcoming[:i], s.upcoming[i+1:]...)
}

// Sequence numbers of the random generators after those of the ranks.
const (
	purchaseSequence = core.RankCount + iota
	crashSequence
)

func newRankProcess(s *scenario.Scenario, rank core.Rank) *arrivalProcess {
	process := newArrivalProcess(s, uint64(rank))
	process.rank = rank
	process.peakRate = s.Load.RPS(rank)
	process.rate = func(time.Duration) float64 { return s.Load.RPS(rank) }
	if s.Flood.Enabled && s.Flood.Rank == rank {
		process.peakRate *= s.Flood.Factor
		process.rate = func(at time.Duration) float64 { return rateWithFlood(s, at) }
	}
	return process
}

func rateWithFlood(s *scenario.Scenario, at time.Duration) float64 {
	rate := s.Load.RPS(s.Flood.Rank)
	if s.Flood.ActiveAt(at) {
		rate *= s.Flood.Factor
	}
	return rate
}

func newPurchaseProcess(s *scenario.Scenario) *arrivalProcess {
	process := newArrivalProcess(s, purchaseSequence)
	process.class = ClassPurchase
	process.peakRate = s.Load.PurchaseRPS
	process.rate = func(time.Duration) float64 { return s.Load.PurchaseRPS }
	return process
}

func newArrivalProcess(s *scenario.Scenario, sequence uint64) *arrivalProcess {
	process := &arrivalProcess{
		random:      rand.New(rand.NewPCG(uint64(s.Run.Seed), sequence)),
		load:        s.Load,
		resendRatio: s.Faults.ResendRatio,
	}
	for _, caller := range s.Callers() {
		if caller.Large {
			process.largeOrganisations = append(process.largeOrganisations, caller)
		} else {
			process.smallOrganisations = append(process.smallOrganisations, caller)
		}
	}
	return process
}

// crashArrivals spreads the requests that crash engines evenly over the load.
func crashArrivals(s *scenario.Scenario) []Arrival {
	process := newArrivalProcess(s, crashSequence)
	process.class = ClassCrash
	process.rank = core.RankNormal
	count := s.Faults.CrashRequests
	arrivals := make([]Arrival, count)
	for i := range arrivals {
		process.lastAt = s.Load.Duration * time.Duration(i+1) / time.Duration(count+1)
		arrivals[i] = process.draw()
		arrivals[i].Resend = true
	}
	return arrivals
}
