package places

import (
	"slices"
	"time"
)

// firstReport is how long the first report of an agent may take: until then
// the endpoint list, which may be from before a loss of power, is not relied
// on.
const firstReport = 400 * time.Millisecond

// usable reports whether an endpoint may begin a request at all.
func (p *Pool) usable(now time.Time, s *state) bool {
	if s.Draining || !s.health.usable(now, len(s.own)) {
		return false
	}
	if !p.config.Reported {
		return true
	}
	if s.report.Closed && now.Sub(s.report.At) <= p.config.ReportAge {
		return false
	}
	if s.report.At.IsZero() && now.Sub(s.since) < firstReport {
		return false
	}
	held := s.held(now, &p.config)
	return held != 0 && held >= p.oldest
}

// limit is the number of requests that an endpoint may have.
func (p *Pool) limit(s *state) float64 {
	return float64(s.Slots + p.config.Overfill)
}

const (
	// otherRegion is what another region costs in the choice, as a part of
	// all slots. Places there are taken when those here are nearly full.
	otherRegion = 0.25
	// spread is the random part of the choice: entries that saw the same
	// reports choose different endpoints.
	spread = 0.06
	// closingGain sends short requests to endpoints that will close, which
	// long ones avoid: so they have little left to end when they do.
	closingGain = 0.3
	// laneGain is what the lane of tight requests is worth to them, and what
	// it costs others.
	laneGain = 0.3
	// quietCost makes endpoints whose agent fell silent the last choice: it
	// may be the agent alone, or its whole instance.
	quietCost = 1.0
	// slowCost makes a slow endpoint the last choice.
	slowCost = 2.0
)

// crowd is how many requests of all entries one unreported request of this
// entry stands for. While there is room each entry finds a place of its own;
// the fewer places are free, the more entries send to the same ones.
func (p *Pool) crowd(free int) float64 {
	if !p.config.Reported {
		return 1
	}
	entries := float64(p.entries)
	return min(max(entries*entries/float64(max(free, 1)), 1), entries)
}

// sharers is how many entries are likely to send prompts to an endpoint now:
// all of them while requests wait everywhere.
func (p *Pool) sharers(s *state) float64 {
	if s.quota.limited {
		return float64(p.entries)
	}
	return 1
}

// choose returns the endpoint with the most room, or nil, while the given
// number of slots is free in all.
func (p *Pool) choose(now time.Time, a *Ask, free int) *state {
	var best *state
	bestScore := 0.0
	crowd := p.crowd(free)
	for _, id := range p.order {
		s := p.endpoints[id]
		if !p.usable(now, s) || slices.Contains(a.Without, id) {
			continue
		}
		load := s.load(now, &p.config, p.entries, crowd)
		closing := s.closing(now, &p.config)
		if !s.quota.allows(now, s, &p.config) || load >= p.limit(s) || (closing && now.Add(a.Expected).After(s.report.ClosesAt)) {
			continue
		}
		reading := s.reading(&p.config, p.sharers(s))
		if reading > mostReading {
			continue
		}
		score := load/float64(s.Slots) + spread*p.config.Rand.Float64() + readingCost*(reading+max(s.detour(), s.late(now))).Seconds()
		if s.Region != p.config.Region {
			score += otherRegion
		}
		if s.slow(now, &p.config) {
			score += slowCost
		}
		if closing {
			score -= closingGain
		}
		if s.quiet(now, &p.config) {
			score += quietCost
		}
		score += p.laneCost(id, a)
		if best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// laneCost keeps tight requests in their lane and others off it, as long as
// there is room elsewhere.
func (p *Pool) laneCost(id string, a *Ask) float64 {
	switch {
	case !p.lane.has(id):
		return 0
	case a.Tight:
		return -laneGain
	default:
		return laneGain
	}
}
