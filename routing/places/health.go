package places

import "time"

const (
	// failureWeight is the weight of the newest answer in the failed share.
	failureWeight = 0.2
	// failedShare is the part of failed answers above which an endpoint is
	// set aside: two failures in a row, or half of the last ten.
	failedShare = 0.35
	// asideFirst and asideMost bound how long an endpoint is set aside; the
	// time doubles with each failed trial.
	asideFirst = 500 * time.Millisecond
	asideMost  = 4 * time.Second
)

// health is what answers tell of one endpoint, whatever its own status check
// says.
type health struct {
	failed float64 // Share of failed answers, newest first.
	aside  time.Time
	pause  time.Duration
	// trial says that the endpoint must prove itself with one request.
	trial bool
}

// success notes a good answer.
func (h *health) success() {
	h.failed -= failureWeight * h.failed
	if h.trial {
		*h = health{}
	}
}

// failure notes a bad one and reports whether the endpoint was set aside.
func (h *health) failure(now time.Time) bool {
	h.failed += failureWeight * (1 - h.failed)
	if !h.trial && h.failed < failedShare {
		return false
	}
	if now.Before(h.aside) {
		return false
	}
	h.pause = min(max(2*h.pause, asideFirst), asideMost)
	h.aside = now.Add(h.pause)
	h.trial = true
	return true
}

// usable reports whether the endpoint may get a request while it has own
// others of this entry.
func (h *health) usable(now time.Time, own int) bool {
	if now.Before(h.aside) {
		return false
	}
	return !h.trial || own == 0
}
