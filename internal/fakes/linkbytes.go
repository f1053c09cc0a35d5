package fakes

import (
	"sync/atomic"

	"github.com/snipestep/snipestep/core"
)

// LinkBytes is a number of bytes by traffic class.
type LinkBytes struct {
	Calls   uint64
	Weights uint64
}

// RegionPair is one direction between two regions.
type RegionPair struct {
	From string
	To   string
}

// LinkTotals is the traffic of each link.
type LinkTotals struct {
	RegionLinks    map[RegionPair]LinkBytes
	Outgoing       map[core.InstanceID]LinkBytes
	Incoming       map[core.InstanceID]LinkBytes
	OriginOutgoing LinkBytes
}

// byteCounter counts bytes by traffic class.
type byteCounter struct {
	byClass [trafficClasses]atomic.Uint64
}

func (c *byteCounter) add(class TrafficClass, bytes int) {
	c.byClass[class].Add(uint64(bytes))
}

func (c *byteCounter) total() LinkBytes {
	return LinkBytes{
		Calls:   c.byClass[TrafficCalls].Load(),
		Weights: c.byClass[TrafficWeights].Load(),
	}
}
