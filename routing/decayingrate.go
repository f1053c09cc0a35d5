package routing

import (
	"math"
	"time"
)

// rateTimeConstant is the time constant of decayingRate.
const rateTimeConstant = 5 * time.Second

// decayingRate is an exponentially decaying event rate.
type decayingRate struct {
	count     float64
	updatedAt time.Time
}

func (r *decayingRate) add(now time.Time) {
	r.count = r.decayed(now) + 1
	r.updatedAt = now
}

func (r *decayingRate) perSecond(now time.Time) float64 {
	return r.decayed(now) / rateTimeConstant.Seconds()
}

func (r *decayingRate) decayed(now time.Time) float64 {
	if r.updatedAt.IsZero() {
		return 0
	}
	elapsed := max(now.Sub(r.updatedAt), 0)
	return r.count * math.Exp(-elapsed.Seconds()/rateTimeConstant.Seconds())
}
