package sharedrate

import "time"

// Allowance is what one entry may send to one endpoint.
type Allowance struct {
	// PerSecond is the rate in requests.
	PerSecond float64
	// Burst is how many requests may be sent at once after a pause.
	Burst float64
	// MaxDebt bounds by how much requests that were sent without a token delay the next
	// ones, in requests.
	MaxDebt float64
}

// Bucket is a token bucket that is charged for every request, also for those that it may not
// hold back. The allowance is a parameter of each call, since the share of an entry changes.
type Bucket struct {
	level      float64
	refilledAt time.Time
}

// NewBucket returns a bucket with a level in requests.
func NewBucket(now time.Time, level float64) Bucket {
	return Bucket{level: level, refilledAt: now}
}

// Level returns how many requests may be sent now, negative while a debt is left.
func (b *Bucket) Level(now time.Time, a Allowance) float64 {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.level += elapsed.Seconds() * a.PerSecond
		b.refilledAt = now
	}
	b.level = min(b.level, a.Burst)
	return b.level
}

// Take charges a request that is sent now, and returns by how much the level fell: less than a
// request if the debt would exceed its bound.
func (b *Bucket) Take(now time.Time, a Allowance) (taken float64) {
	before := b.Level(now, a)
	b.level = min(max(before-1, -a.MaxDebt), before)
	return before - b.level
}

// GiveBack returns the charge of a request that was not sent.
func (b *Bucket) GiveBack(taken float64) {
	b.level += taken
}
