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
// A connection that was dialled through Dialer pays, in each direction, at
// the sender's and at the receiver's link and, between regions, at the link
// of the two regions, and arrives after the latency. Connections to addresses
// that were not registered are not shaped. It is safe for concurrent use.
type Links struct {
	config LinksConfig
	clock  Clock
	sleep  Sleep

	mu      sync.Mutex
	ends    map[string]registeredEnd
	outs    map[core.InstanceID]*linkBucket
	ins     map[core.InstanceID]*linkBucket
	regions map[RegionPair]*linkBucket
	origin  *linkBucket
	stalls  map[stall]bool
	healed  chan struct{} // Closed and replaced when stalls end.
}

type registeredEnd struct {
	end   linkEnd
	class TrafficClass
}

// stall is a direction in which no bytes flow, between instances or regions.
type stall struct {
	from    string
	to      string
	regions bool
}

// NewLinks returns links without instances.
func NewLinks(config LinksConfig) *Links {
	return &Links{
		config:  config,
		clock:   config.Clock.orSystem(),
		sleep:   config.Sleep.orSystem(),
		ends:    map[string]registeredEnd{},
		outs:    map[core.InstanceID]*linkBucket{},
		ins:     map[core.InstanceID]*linkBucket{},
		regions: map[RegionPair]*linkBucket{},
		origin:  newLinkBucket(config.OriginMbps),
		stalls:  map[stall]bool{},
		healed:  make(chan struct{}),
	}
}

// Register says which instance listens at an address, where it is, and what
// the address carries.
func (l *Links) Register(address string, class TrafficClass, id core.InstanceID, location core.Location) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ends[address] = registeredEnd{end: linkEnd{id: id, region: location.Region}, class: class}
}

// RegisterOrigin says at which address the origin listens and where it is.
func (l *Links) RegisterOrigin(address string, location core.Location) {
	l.mu.Lock()
	defer l.mu.Unlock()
	end := linkEnd{id: "origin", region: location.Region, origin: true}
	l.ends[address] = registeredEnd{end: end, class: TrafficWeights}
}

// Dialer returns the dial function of an instance.
func (l *Links) Dialer(id core.InstanceID, location core.Location) func(ctx context.Context, network, address string) (net.Conn, error) {
	near := linkEnd{id: id, region: location.Region}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		far, found := l.lookUp(address)
		if !found {
			return conn, nil
		}
		up := newLinkPath(l, near, far.end, far.class)
		down := newLinkPath(l, far.end, near, far.class)
		return newLinkConn(conn, up, down), nil
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
	l.setStall(stall{from: from, to: to, regions: true}, true)
}

// HealRegions ends a stall between regions.
func (l *Links) HealRegions(from, to string) {
	l.setStall(stall{from: from, to: to, regions: true}, false)
}

// Totals returns the bytes so far, the ones that wait for a link included.
func (l *Links) Totals() LinkTotals {
	l.mu.Lock()
	defer l.mu.Unlock()
	return LinkTotals{
		Regions:   totals(l.regions),
		Out:       totals(l.outs),
		In:        totals(l.ins),
		OriginOut: l.origin.bytes.total(),
	}
}

func totals[K comparable](buckets map[K]*linkBucket) map[K]LinkBytes {
	sums := make(map[K]LinkBytes, len(buckets))
	for key, bucket := range buckets {
		sums[key] = bucket.bytes.total()
	}
	return sums
}

func (l *Links) lookUp(address string) (registeredEnd, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	end, found := l.ends[address]
	return end, found
}

func (l *Links) out(end linkEnd) *linkBucket {
	if end.origin {
		return l.origin
	}
	return bucketOf(l, l.outs, end.id, l.config.InstanceMbps)
}

// in returns the incoming direction. Requests to the origin wait nowhere.
func (l *Links) in(end linkEnd) *linkBucket {
	if end.origin {
		return newLinkBucket(0)
	}
	return bucketOf(l, l.ins, end.id, l.config.InstanceMbps)
}

func (l *Links) region(pair RegionPair) *linkBucket {
	return bucketOf(l, l.regions, pair, l.config.RegionMbps)
}

func bucketOf[K comparable](l *Links, buckets map[K]*linkBucket, key K, mbps float64) *linkBucket {
	l.mu.Lock()
	defer l.mu.Unlock()
	if buckets[key] == nil {
		buckets[key] = newLinkBucket(mbps)
	}
	return buckets[key]
}

func (l *Links) setStall(stalled stall, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if on {
		l.stalls[stalled] = true
		return
	}
	delete(l.stalls, stalled)
	close(l.healed)
	l.healed = make(chan struct{})
}

// awaitStalls blocks while the path is stalled.
func (l *Links) awaitStalls(ctx context.Context, path *linkPath) error {
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
	regions := stall{from: path.from.region, to: path.to.region, regions: true}
	return l.stalls[instances] || l.stalls[regions], l.healed
}
