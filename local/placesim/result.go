package placesim

// Outcome counts what became of the requests of one kind.
type Outcome struct {
	Asked, OnTime, Late, Refused int
}

// OnTimeShare is the part of the requests whose first event came within the
// aim.
func (o Outcome) OnTimeShare() float64 {
	return float64(o.OnTime) / float64(max(o.Asked, 1))
}

// ServedShare is the part of the requests that were served at all.
func (o Outcome) ServedShare() float64 {
	return float64(o.OnTime+o.Late) / float64(max(o.Asked, 1))
}
