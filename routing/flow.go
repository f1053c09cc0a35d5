package routing

import (
	"container/list"

	"github.com/snipestep/snipestep/core"
)

// flow is one organisation's part of a fairQueue.
type flow struct {
	organisation core.OrganisationID
	weight       float64
	virtualTime  float64 // Charged tokens divided by the weight, since the queue was last idle.
	waiting      list.List
	running      int
	index        int // Position in the queue's heap, or notInHeap.
}

const notInHeap = -1

func (f *flow) idle() bool {
	return f.waiting.Len() == 0 && f.running == 0
}

// weightedBacklog returns the number of waiting calls divided by the weight.
func (f *flow) weightedBacklog() float64 {
	return float64(f.waiting.Len()) / f.weight
}
