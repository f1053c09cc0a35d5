package routing

import (
	"math"
	"time"
)

// rateTimeConstant is the time constant of decayingRate.
const rateTimeConstant = 5 * time.Second

// decayingRate is an exponentially decaying event rate.
type decayingRate struct {
	count float64
	at    time.Time
}

func (r *decayingRate) add(now time.Time) {
	r.count = r.decayed(now) + 1
	r.at = now
}

func (r *decayingRate) perSecond(now time.Time) float64 {
	return r.decayed(now) / rateTimeConstant.Seconds()
}

func (r *decayingRate) decayed(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	elapsed := max(now.Sub(r.at), 0)
	return r.count * math.Exp(-elapsed.Seconds()/rateTimeConstant.Seconds())
}
