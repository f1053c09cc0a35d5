package routing

import (
	"container/list"

	"github.com/snipestep/snipestep/core"
)

// organisation is one organisation's part of a lane.
type organisation struct {
	id      core.OrganisationID
	weight  float64
	virtual float64 // Tokens used by weight, since the lane was last idle.
	waiting list.List
	running int
	index   int // Position in the lane's heap, or notInHeap.
}

const notInHeap = -1

func (o *organisation) idle() bool {
	return o.waiting.Len() == 0 && o.running == 0
}

// held returns the waiting calls by weight.
func (o *organisation) held() float64 {
	return float64(o.waiting.Len()) / o.weight
}
