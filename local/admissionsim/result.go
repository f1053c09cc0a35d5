package admissionsim

// Result counts the requests of one kind by outcome.
type Result struct {
	Submitted, OnTime, Late, Refused int
}

// OnTimeShare returns the share of the requests whose first event met the target.
func (r Result) OnTimeShare() float64 {
	return float64(r.OnTime) / float64(max(r.Submitted, 1))
}

// ServedShare returns the share of the requests that were not refused.
func (r Result) ServedShare() float64 {
	return float64(r.OnTime+r.Late) / float64(max(r.Submitted, 1))
}
