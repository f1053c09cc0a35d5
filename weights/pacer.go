package weights

import "time"

// Pacer limits the bytes per second that a node may transfer while its instance
// runs inference requests. These take precedence, but the rate never drops to
// zero.
type Pacer struct {
	// FullRate is the rate without inference requests, in bytes per second.
	FullRate float64
	// MinShare is the fraction of FullRate left when every slot is in use.
	MinShare float64
	// RiseTime is how long the rate takes to rise from zero to FullRate.
	RiseTime time.Duration

	rate      float64
	updatedAt time.Time
}

// Rate returns the allowed bytes per second at now while running of slots
// slots are in use. It falls at once when inference requests arrive and rises
// over RiseTime.
func (p *Pacer) Rate(now time.Time, running, slots int) float64 {
	target := p.target(running, slots)
	if p.updatedAt.IsZero() || target <= p.rate || p.RiseTime <= 0 {
		p.rate = target
	} else {
		step := p.FullRate * now.Sub(p.updatedAt).Seconds() / p.RiseTime.Seconds()
		p.rate = min(target, p.rate+max(step, 0))
	}
	p.updatedAt = now
	return p.rate
}

func (p *Pacer) target(running, slots int) float64 {
	if slots <= 0 || running <= 0 {
		return p.FullRate
	}
	busy := min(1, float64(running)/float64(slots))
	return p.FullRate * (1 - busy*(1-p.MinShare))
}
