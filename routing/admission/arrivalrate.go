package admission

import "time"

// arrivalRate measures requests per second over about the last two seconds.
type arrivalRate struct {
	count       int // Requests since windowStart.
	windowStart time.Time
	// lastRate is the rate of the previous window, per second.
	lastRate float64
}

// arrivalWindow is the length of a window: shorter ones would measure noise.
const arrivalWindow = time.Second

func (r *arrivalRate) add(now time.Time) {
	r.roll(now)
	r.count++
}

// roll starts a new window once the current one is over.
func (r *arrivalRate) roll(now time.Time) {
	if r.windowStart.IsZero() {
		r.windowStart = now
	}
	elapsed := now.Sub(r.windowStart)
	if elapsed < arrivalWindow {
		return
	}
	r.lastRate = float64(r.count) / elapsed.Seconds()
	r.count = 0
	r.windowStart = now
}

// perSecond returns the rate of the last complete window.
func (r *arrivalRate) perSecond(now time.Time) float64 {
	r.roll(now)
	return r.lastRate
}
