package fakes

import (
	"sync/atomic"

	"github.com/snipestep/snipestep/core"
)

// LinkBytes counts bytes by class of traffic.
type LinkBytes struct {
	Calls   uint64
	Weights uint64
}

// RegionPair is one direction between two regions.
type RegionPair struct {
	From string
	To   string
}

// LinkTotals are the bytes that crossed each link.
type LinkTotals struct {
	Regions   map[RegionPair]LinkBytes
	Out       map[core.InstanceID]LinkBytes
	In        map[core.InstanceID]LinkBytes
	OriginOut LinkBytes
}

// byteCounter counts bytes by class.
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
