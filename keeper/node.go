package keeper

import (
	"net"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/weights"
	"github.com/snipestep/snipestep/weights/swarm"
)

// newNode returns the swarm's node of this instance. It names no region of the
// origin, so that the regions take turns in drawing chunks from there: the
// instances of one region alone would have to send twice what the others do.
func (k *Keeper) newNode() (*swarm.Node, error) {
	return swarm.NewNode(swarm.Config{
		Self:          swarm.Peer{ID: peerID(k.config.ChunkAddr), Location: k.config.Location, ChunkAddr: k.config.ChunkAddr},
		Seed:          k.config.Seed,
		Picker:        pickerLimits(),
		Uploads:       weights.UploadLimits{Running: runningUploads},
		SendBytes:     idleShare * k.config.LinkBytes,
		BusySendShare: busySendShare / idleShare,
		RateBytes:     idleShare * k.config.LinkBytes,
		MinRateShare:  busyShare / idleShare,
		StallTimeout:  chunkStall,
		HaveDelay:     haveDelay,
		SourceTimeout: sourceTimeout,
	}, swarm.Deps{
		Origin:   k.deps.Origin,
		Store:    noStore{},
		Logger:   k.deps.Logger,
		Scope:    k.deps.Scope,
		FleetKey: k.config.FleetKey,
		Live:     k.live,
	})
}

// live returns the requests that the engine runs, and its slots.
func (k *Keeper) live() (running, slots int) {
	state := k.state.Load()
	service := k.service(k.deps.Directory.View())
	if state == nil || service == nil {
		return 0, 1
	}
	return state.Running, service.Engine.Slots
}

// Limits of the swarm for copies of a few megabytes that must be everywhere
// within seconds; the defaults of the swarm are made for gigabytes.
const (
	chunkStall = 900 * time.Millisecond
	haveDelay  = 20 * time.Millisecond
	// sourceTimeout bounds one chunk from the origin: two dozen fetchers that
	// share an origin of 6 Mbit/s wait 1.1 s for theirs. One that hangs keeps
	// every engine from the version.
	sourceTimeout = 1500 * time.Millisecond
	// originFetchers is how many agents draw on the origin at a time. Their
	// chunks queue on its link: eight of 32 KiB fill one of 6 Mbit/s for 0.35 s,
	// and those of 30 agents at once kept new connections waiting for a second.
	originFetchers = 8
	// idleShare and busyShare are the parts of the instance's link that chunks
	// may take, without requests and with one in every slot: the events of
	// streams go over the same link.
	idleShare = 0.97
	busyShare = 0.7
	// busySendShare is the part that chunks may take on the way out while
	// requests run.
	busySendShare = 0.8
	// runningUploads is the number of chunks that may wait to be sent; they go
	// one after the other.
	runningUploads = 4
)

func pickerLimits() weights.PickerConfig {
	return weights.PickerConfig{
		OriginFetchers: originFetchers,
		// Each fetcher draws one chunk at a time: more would share the origin's
		// link, so that the first ones arrive late and peers wait for them.
		OriginRequests: 1,
		// Requests to another region wait there until the chunk has come; many
		// open ones keep the link busy whatever the order of arrival.
		RegionRequests:  24,
		PeerRequests:    6,
		RequestsPerPeer: 2,
		// A refusal means that the peer sends other chunks; it is free again
		// after about one of them.
		RefusedRetry:    40 * time.Millisecond,
		MaxRefusedRetry: 80 * time.Millisecond,
		FallbackDelay:   500 * time.Millisecond,
		LastResortDelay: 1500 * time.Millisecond,
		StartGrace:      400 * time.Millisecond,
		DownTime:        800 * time.Millisecond,
		SuspectTime:     2 * time.Second,
		SourceRetry:     50 * time.Millisecond,
		SlowAfter:       1200 * time.Millisecond,
	}
}

// peerID names an agent by the IP of its instance.
func peerID(addr string) core.InstanceID {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return core.InstanceID(addr)
	}
	return core.InstanceID(host)
}

// peers lists the agents of the engine's service.
func (k *Keeper) peers() []swarm.Peer {
	own, err := netip.ParseAddrPort(k.config.ChunkAddr)
	if err != nil {
		return nil
	}
	var peers []swarm.Peer
	for _, e := range k.engines(k.deps.Directory.View()) {
		at, err := netip.ParseAddrPort(e.Address)
		if err != nil {
			continue
		}
		peers = append(peers, swarm.Peer{
			ID:        core.InstanceID(at.Addr().String()),
			Location:  core.Location{Region: e.Region, FailureDomain: e.Domain},
			ChunkAddr: netip.AddrPortFrom(at.Addr(), own.Port()).String(),
		})
	}
	slices.SortFunc(peers, func(a, b swarm.Peer) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return peers
}
