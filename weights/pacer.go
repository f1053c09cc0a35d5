package weights

import "time"

// Pacer decides how many bytes a second a node may move while calls run on
// its instance. It yields to calls but never stops fully.
type Pacer struct {
	// FullRate is the rate without calls in bytes a second.
	FullRate float64
	// MinShare is the part of FullRate left when every slot is in use.
	MinShare float64
	// RiseTime is how long the rate takes to return from the minimum to
	// FullRate.
	RiseTime time.Duration

	rate float64
	last time.Time
}

// Rate returns the allowed bytes a second at now for running calls of slots.
// It falls at once when calls arrive and rises over RiseTime.
func (p *Pacer) Rate(now time.Time, running, slots int) float64 {
	target := p.target(running, slots)
	if p.last.IsZero() || target <= p.rate || p.RiseTime <= 0 {
		p.rate = target
	} else {
		step := p.FullRate * now.Sub(p.last).Seconds() / p.RiseTime.Seconds()
		p.rate = min(target, p.rate+max(step, 0))
	}
	p.last = now
	return p.rate
}

func (p *Pacer) target(running, slots int) float64 {
	if slots <= 0 || running <= 0 {
		return p.FullRate
	}
	busy := min(1, float64(running)/float64(slots))
	return p.FullRate * (1 - busy*(1-p.MinShare))
}
