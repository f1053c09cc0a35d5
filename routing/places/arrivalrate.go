package places

import "time"

// arrivalRate measures asks a second, over about two seconds.
type arrivalRate struct {
	now   int // In the running span.
	began time.Time
	// lastRate is that of the span before, a second.
	lastRate float64
}

// arrivalSpan is the length of a span: shorter ones would follow chance.
const arrivalSpan = time.Second

func (r *arrivalRate) add(now time.Time) {
	r.roll(now)
	r.now++
}

// roll closes the running span once it is over.
func (r *arrivalRate) roll(now time.Time) {
	if r.began.IsZero() {
		r.began = now
	}
	over := now.Sub(r.began)
	if over < arrivalSpan {
		return
	}
	r.lastRate = float64(r.now) / over.Seconds()
	r.now = 0
	r.began = now
}

// perSecond returns the rate of the last whole span.
func (r *arrivalRate) perSecond(now time.Time) float64 {
	r.roll(now)
	return r.lastRate
}
