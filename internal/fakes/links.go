package fakes

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/internal/httpcall"
)

// Links shapes the TCP connections between instances that run in one process.
// Each direction of a connection dialled through Dialer is limited by the link of
// the sender, the link of the receiver and, between regions, the link of the two
// regions, and is delayed by the latency. Connections to addresses that were not
// registered are not shaped. It is safe for concurrent use.
type Links struct {
	config LinksConfig
	clock  Clock
	sleep  Sleep

	mu             sync.Mutex
	endsByAddress  map[string]registeredEnd
	outgoing       map[core.InstanceID]*linkBucket
	incoming       map[core.InstanceID]*linkBucket
	regionLinks    map[RegionPair]*linkBucket
	originOutgoing *linkBucket
	stalls         map[stall]bool
	healed         chan struct{} // Closed and replaced when a stall ends.
}

type registeredEnd struct {
	end   linkEnd
	class TrafficClass
}

// stall is a direction in which no bytes flow, between instances or regions.
type stall struct {
	from           string
	to             string
	betweenRegions bool
}

// NewLinks returns links without instances.
func NewLinks(config LinksConfig) *Links {
	return &Links{
		config:         config,
		clock:          config.Clock.orSystem(),
		sleep:          config.Sleep.orSystem(),
		endsByAddress:  map[string]registeredEnd{},
		outgoing:       map[core.InstanceID]*linkBucket{},
		incoming:       map[core.InstanceID]*linkBucket{},
		regionLinks:    map[RegionPair]*linkBucket{},
		originOutgoing: newLinkBucket(config.OriginMbps),
		stalls:         map[stall]bool{},
		healed:         make(chan struct{}),
	}
}

// Register sets the instance that listens at an address, its location, and the
// traffic class of the address.
func (l *Links) Register(address string, class TrafficClass, id core.InstanceID, location core.Location) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endsByAddress[address] = registeredEnd{end: linkEnd{id: id, region: location.Region}, class: class}
}

// RegisterOrigin sets the address and the location of the origin.
func (l *Links) RegisterOrigin(address string, location core.Location) {
	l.mu.Lock()
	defer l.mu.Unlock()
	end := linkEnd{id: "origin", region: location.Region, isOrigin: true}
	l.endsByAddress[address] = registeredEnd{end: end, class: TrafficWeights}
}

// Dialer returns the dial function of an instance.
func (l *Links) Dialer(id core.InstanceID, location core.Location) func(ctx context.Context, network, address string) (net.Conn, error) {
	local := linkEnd{id: id, region: location.Region}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		remote, found := l.registeredAt(address)
		if !found {
			return conn, nil
		}
		outbound := newLinkPath(l, local, remote.end, remote.class)
		inbound := newLinkPath(l, remote.end, local, remote.class)
		return newLinkConn(conn, outbound, inbound), nil
	}
}

// Transport returns an HTTP transport that dials with Dialer.
func (l *Links) Transport(id core.InstanceID, location core.Location) *http.Transport {
	transport := httpcall.NewTransport()
	transport.DialContext = l.Dialer(id, location)
	return transport
}

// Stall stops the bytes from one instance to another. Connections stay open.
func (l *Links) Stall(from, to core.InstanceID) {
	l.setStall(stall{from: string(from), to: string(to)}, true)
}

// Heal ends a stall.
func (l *Links) Heal(from, to core.InstanceID) {
	l.setStall(stall{from: string(from), to: string(to)}, false)
}

// StallRegions stops the bytes from one region to another.
func (l *Links) StallRegions(from, to string) {
	l.setStall(stall{from: from, to: to, betweenRegions: true}, true)
}

// HealRegions ends a stall between regions.
func (l *Links) HealRegions(from, to string) {
	l.setStall(stall{from: from, to: to, betweenRegions: true}, false)
}

// Totals returns the bytes so far, including those that wait for bandwidth.
func (l *Links) Totals() LinkTotals {
	l.mu.Lock()
	defer l.mu.Unlock()
	return LinkTotals{
		RegionLinks:    totals(l.regionLinks),
		Outgoing:       totals(l.outgoing),
		Incoming:       totals(l.incoming),
		OriginOutgoing: l.originOutgoing.traffic.total(),
	}
}

func totals[K comparable](buckets map[K]*linkBucket) map[K]LinkBytes {
	sums := make(map[K]LinkBytes, len(buckets))
	for key, bucket := range buckets {
		sums[key] = bucket.traffic.total()
	}
	return sums
}

func (l *Links) registeredAt(address string) (registeredEnd, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	end, found := l.endsByAddress[address]
	return end, found
}

func (l *Links) outgoingBucket(end linkEnd) *linkBucket {
	if end.isOrigin {
		return l.originOutgoing
	}
	return getOrCreateBucket(l, l.outgoing, end.id, l.config.InstanceMbps)
}

// incomingBucket returns the incoming direction of a link. The origin's is not
// limited.
func (l *Links) incomingBucket(end linkEnd) *linkBucket {
	if end.isOrigin {
		return newLinkBucket(0)
	}
	return getOrCreateBucket(l, l.incoming, end.id, l.config.InstanceMbps)
}

func (l *Links) regionBucket(pair RegionPair) *linkBucket {
	return getOrCreateBucket(l, l.regionLinks, pair, l.config.RegionMbps)
}

func getOrCreateBucket[K comparable](l *Links, buckets map[K]*linkBucket, key K, mbps float64) *linkBucket {
	l.mu.Lock()
	defer l.mu.Unlock()
	if buckets[key] == nil {
		buckets[key] = newLinkBucket(mbps)
	}
	return buckets[key]
}

func (l *Links) setStall(direction stall, active bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if active {
		l.stalls[direction] = true
		return
	}
	delete(l.stalls, direction)
	close(l.healed)
	l.healed = make(chan struct{})
}

// waitUntilHealed blocks while the path is stalled.
func (l *Links) waitUntilHealed(ctx context.Context, path *linkPath) error {
	for {
		stalled, healed := l.stalled(path)
		if !stalled {
			return ctx.Err()
		}
		select {
		case <-healed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (l *Links) stalled(path *linkPath) (bool, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.stalls) == 0 {
		return false, nil
	}
	instances := stall{from: string(path.from.id), to: string(path.to.id)}
	regions := stall{from: path.from.region, to: path.to.region, betweenRegions: true}
	return l.stalls[instances] || l.stalls[regions], l.healed
}
