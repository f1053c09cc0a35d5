package fakes

import (
	"context"
	"time"

	"github.com/snipestep/snipestep/core"
)

// linkPath is one direction of a connection.
type linkPath struct {
	links        *Links
	from         linkEnd
	to           linkEnd
	class        TrafficClass
	buckets      []*linkBucket
	latency      time.Duration
	segmentBytes int
}

// linkEnd is one end of a connection.
type linkEnd struct {
	id       core.InstanceID
	region   string
	isOrigin bool
}

func newLinkPath(links *Links, from, to linkEnd, class TrafficClass) *linkPath {
	path := &linkPath{links: links, from: from, to: to, class: class, segmentBytes: maxSegmentBytes}
	path.buckets = append(path.buckets, links.outgoingBucket(from), links.incomingBucket(to))
	path.latency = milliseconds(links.config.LocalLatencyMS)
	if from.region != to.region {
		path.buckets = append(path.buckets, links.regionBucket(RegionPair{From: from.region, To: to.region}))
		path.latency = milliseconds(links.config.RegionLatencyMS)
	}
	for _, bucket := range path.buckets {
		path.segmentBytes = min(path.segmentBytes, bucket.segmentBytes)
	}
	return path
}

// waitForBandwidth blocks until no link of the path is stalled and all of them let
// the bytes pass.
func (p *linkPath) waitForBandwidth(ctx context.Context, bytes int) error {
	if err := p.links.waitUntilHealed(ctx, p); err != nil {
		return err
	}
	var delay time.Duration
	for _, bucket := range p.buckets {
		delay = max(delay, bucket.reserve(p.links.clock, p.class, bytes))
	}
	if delay <= 0 {
		return nil
	}
	return p.links.sleep(ctx, delay)
}

func (p *linkPath) stalled() bool {
	stalled, _ := p.links.stalled(p)
	return stalled
}

func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}
