package load

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/local/scenario"
)

// Schedule yields the arrivals of a scenario in order of time. It depends on
// the scenario only.
type Schedule struct {
	streams []*stream
	heads   []Arrival
	crashes []Arrival
	count   int
}

// NewSchedule returns the schedule of a scenario.
func NewSchedule(s *scenario.Scenario) *Schedule {
	schedule := &Schedule{crashes: crashArrivals(s)}
	for _, rank := range core.Ranks {
		schedule.add(rankStream(s, rank))
	}
	schedule.add(purchaseStream(s))
	return schedule
}

// Next returns the next arrival, or false after the last one.
func (s *Schedule) Next() (Arrival, bool) {
	first := s.earliest()
	if len(s.crashes) > 0 && (first < 0 || s.crashes[0].At < s.heads[first].At) {
		arrival := s.crashes[0]
		s.crashes = s.crashes[1:]
		return s.number(arrival), true
	}
	if first < 0 {
		return Arrival{}, false
	}
	arrival := s.heads[first]
	s.advance(first)
	return s.number(arrival), true
}

func (s *Schedule) number(arrival Arrival) Arrival {
	s.count++
	arrival.ID = fmt.Sprintf("c%07d", s.count)
	return arrival
}

func (s *Schedule) add(added *stream) {
	if head, ok := added.next(); ok {
		s.streams = append(s.streams, added)
		s.heads = append(s.heads, head)
	}
}

// earliest returns the stream whose head comes first, or -1.
func (s *Schedule) earliest() int {
	first := -1
	for i := range s.heads {
		if first < 0 || s.heads[i].At < s.heads[first].At {
			first = i
		}
	}
	return first
}

func (s *Schedule) advance(i int) {
	if head, ok := s.streams[i].next(); ok {
		s.heads[i] = head
		return
	}
	s.streams = append(s.streams[:i], s.streams[i+1:]...)
	s.heads = append(s.heads[:i], s.heads[i+1:]...)
}

// The numbers of the random streams.
const (
	purchaseRandom = core.RankCount + iota
	crashRandom
)

func rankStream(s *scenario.Scenario, rank core.Rank) *stream {
	made := newStream(s, uint64(rank))
	made.rank = rank
	made.peak = s.Load.RPS(rank)
	made.rate = func(time.Duration) float64 { return s.Load.RPS(rank) }
	if s.Flood.On && s.Flood.Rank == rank {
		made.peak *= s.Flood.Factor
		made.rate = func(at time.Duration) float64 { return floodRate(s, at) }
	}
	return made
}

func floodRate(s *scenario.Scenario, at time.Duration) float64 {
	rate := s.Load.RPS(s.Flood.Rank)
	if s.Flood.During(at) {
		rate *= s.Flood.Factor
	}
	return rate
}

func purchaseStream(s *scenario.Scenario) *stream {
	made := newStream(s, purchaseRandom)
	made.class = ClassPurchase
	made.peak = s.Load.PurchaseRPS
	made.rate = func(time.Duration) float64 { return s.Load.PurchaseRPS }
	return made
}

func newStream(s *scenario.Scenario, number uint64) *stream {
	made := &stream{
		random: rand.New(rand.NewPCG(uint64(s.Run.Seed), number)),
		load:   s.Load,
		resend: s.Faults.ResendRatio,
	}
	for _, caller := range s.Callers() {
		if caller.Large {
			made.large = append(made.large, caller)
		} else {
			made.small = append(made.small, caller)
		}
	}
	return made
}

// crashArrivals spreads the crashing requests evenly over the load.
func crashArrivals(s *scenario.Scenario) []Arrival {
	made := newStream(s, crashRandom)
	made.class = ClassCrash
	made.rank = core.RankNormal
	count := s.Faults.CrashRequests
	arrivals := make([]Arrival, count)
	for i := range arrivals {
		made.at = s.Load.Duration * time.Duration(i+1) / time.Duration(count+1)
		arrivals[i] = made.draw()
		arrivals[i].Resend = true
	}
	return arrivals
}
