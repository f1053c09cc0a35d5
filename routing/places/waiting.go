package places

import (
	"math"
	"slices"
	"time"
)

// longestWait is the longest wait that is told; a caller's request lives for
// a few seconds.
const longestWait = 5 * time.Second

// blocked reports whether requests that go first wait for a place that this
// one could take.
func (p *Pool) blocked(now time.Time, a *Ask) bool {
	for _, w := range p.waiting {
		if p.before(now, w, a) {
			return true
		}
	}
	return false
}

// rate estimates the places a second that come free for this entry.
func (p *Pool) rate(now time.Time) float64 {
	slots := 0
	for _, s := range p.endpoints {
		if p.usable(now, s) {
			slots += s.Slots
		}
	}
	return float64(slots) / p.hold.Seconds() / float64(p.entries)
}

// expected estimates how long an ask waits: the requests that go first, at the
// rate at which places come free.
func (p *Pool) expected(now time.Time, a *Ask, rate float64) time.Duration {
	if rate == 0 {
		return longestWait
	}
	ahead := 1
	for _, w := range p.waiting {
		if p.before(now, w, a) {
			ahead++
		}
	}
	wait := waitFor(ahead, p.left(now, rate, a.Rank))
	if !now.Add(wait).After(a.OnTimeUntil) || a.Begun {
		return wait
	}
	// It will be late, and then goes behind all that are on time, also those
	// that are still to come.
	return waitFor(len(p.waiting)+1, p.left(now, rate, maxRank))
}

// maxRank is beyond every rank.
const maxRank = math.MaxInt

// leastSpare is the part of the places that must be left by requests that go
// first for others to count on any.
const leastSpare = 0.05

// left returns the places a second that more urgent ranks leave.
func (p *Pool) left(now time.Time, rate float64, rank int) float64 {
	spare := rate
	for other, arrivals := range p.arrivals {
		if other < rank {
			spare -= arrivals.perSecond(now)
		}
	}
	if spare <= leastSpare*rate {
		return 0
	}
	return spare
}

// waitFor returns how long the last of n requests waits at a rate a second.
func waitFor(n int, rate float64) time.Duration {
	if rate <= 0 {
		return longestWait
	}
	return min(time.Duration(float64(n)/rate*float64(time.Second)), longestWait)
}

// noteArrival counts an ask.
func (p *Pool) noteArrival(now time.Time, a *Ask) {
	rate := p.arrivals[a.Rank]
	if rate == nil {
		rate = &arrivalRate{}
		p.arrivals[a.Rank] = rate
	}
	rate.add(now)
}

// before orders waiting asks: class, rank, organisations that used less, time.
func (p *Pool) before(now time.Time, a, b *Ask) bool {
	if ca, cb := a.class(now), b.class(now); ca != cb {
		return ca < cb
	}
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	if a.Returned != b.Returned {
		return a.Returned
	}
	if a.Organisation != b.Organisation {
		if ua, ub := p.used[a.Organisation], p.used[b.Organisation]; ua != ub {
			return ua < ub
		}
	}
	return a.Arrived.Before(b.Arrived)
}

// Started is a waiting request that got its place.
type Started struct {
	Ask      *Ask
	Endpoint string
	Seen     Seen
}

// Next starts waiting requests while there is room.
func (p *Pool) Next(now time.Time) []Started {
	var started []Started
	if len(p.waiting) == 0 {
		return nil
	}
	slices.SortStableFunc(p.waiting, func(a, b *Ask) int {
		switch {
		case p.before(now, a, b):
			return -1
		case p.before(now, b, a):
			return 1
		default:
			return 0
		}
	})
	free := p.free(now)
	kept := p.waiting[:0]
	for _, a := range p.waiting {
		s := p.choose(now, a, free)
		if s == nil {
			kept = append(kept, a)
			continue
		}
		started = append(started, Started{Ask: a, Endpoint: s.ID, Seen: p.seenAt(now, s, free)})
		p.start(now, s, a)
		free = p.free(now)
	}
	p.waiting = kept
	return started
}

// Remove drops a waiting request and reports whether it was waiting.
func (p *Pool) Remove(id uint64) bool {
	at := slices.IndexFunc(p.waiting, func(a *Ask) bool { return a.ID == id })
	if at < 0 {
		return false
	}
	p.waiting = slices.Delete(p.waiting, at, at+1)
	return true
}
