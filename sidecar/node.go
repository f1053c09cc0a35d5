package sidecar

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

// newSwarmNode returns the swarm node of this instance. It sets no OriginRegion, so
// that the regions take turns in fetching chunks from the origin: the instances of
// a single region would have to send twice as much as the others.
func (r *Reconciler) newSwarmNode() (*swarm.Node, error) {
	return swarm.NewNode(swarm.Config{
		Self:               swarm.Peer{ID: peerID(r.config.ChunkAddr), Location: r.config.Location, ChunkAddr: r.config.ChunkAddr},
		Seed:               r.config.Seed,
		Picker:             pickerConfig(),
		Uploads:            weights.UploadLimits{Concurrency: maxUploads},
		SendBytesPerSecond: idleLinkShare * r.config.LinkBytesPerSecond,
		BusySendShare:      busySendShare / idleLinkShare,
		RateBytes:          idleLinkShare * r.config.LinkBytesPerSecond,
		MinRateShare:       busyReceiveShare / idleLinkShare,
		StallTimeout:       chunkStallTimeout,
		HaveDelay:          haveAnnounceDelay,
		SourceTimeout:      sourceTimeout,
	}, swarm.Deps{
		Origin:        r.deps.Origin,
		Store:         noWeightStore{},
		Logger:        r.deps.Logger,
		Scope:         r.deps.Scope,
		FleetKey:      r.config.FleetKey,
		InferenceLoad: r.requestLoad,
	})
}

// requestLoad returns the number of requests that the engine runs, and its slots. An
// engine whose state is unknown counts as idle.
func (r *Reconciler) requestLoad() (running, slots int) {
	state := r.engineState.Load()
	service := r.engineService(r.deps.Directory.View())
	if state == nil || service == nil {
		return 0, 1
	}
	return state.Running, service.Engine.Slots
}

// Limits of the swarm for weights of a few megabytes that must reach all instances
// within seconds; the swarm's defaults are for gigabytes.
const (
	chunkStallTimeout = 900 * time.Millisecond
	haveAnnounceDelay = 20 * time.Millisecond
	// sourceTimeout bounds the fetch of one chunk from the origin: each of two dozen
	// agents that share a 6 Mbit/s origin waits 1.1 s for its chunk. As long as one
	// fetch hangs, no engine can load the version.
	sourceTimeout = 1500 * time.Millisecond
	// originFetchers is how many agents fetch from the origin at a time. Their
	// chunks queue on its link: eight of 32 KiB occupy 6 Mbit/s for 0.35 s, and
	// those of 30 agents at once kept new connections waiting for a second.
	originFetchers = 8
	// idleLinkShare is the share of the instance's link that chunks may use while the
	// engine runs no requests, and busyReceiveShare the share for received chunks
	// while every slot is in use: stream events use the same link.
	idleLinkShare    = 0.97
	busyReceiveShare = 0.7
	// busySendShare is the share for sent chunks while requests run.
	busySendShare = 0.8
	// maxUploads is the number of chunks that may wait to be sent; they are sent
	// one after the other.
	maxUploads = 4
)

func pickerConfig() weights.PickerConfig {
	return weights.PickerConfig{
		OriginFetchers: originFetchers,
		// Each fetcher requests one chunk at a time: more would share the origin's
		// link, so that the first ones arrive late and peers wait for them.
		OriginRequests: 1,
		// A request to another region waits there until the chunk has arrived; many
		// open requests keep the link busy in whatever order the chunks arrive.
		RegionRequests:  24,
		PeerRequests:    6,
		RequestsPerPeer: 2,
		// A peer refuses while it sends other chunks; it has capacity again after
		// about one of them.
		RefusalBackoff:      40 * time.Millisecond,
		MaxRefusalBackoff:   80 * time.Millisecond,
		FallbackDelay:       500 * time.Millisecond,
		OriginFallbackDelay: 1500 * time.Millisecond,
		TakeoverBackoff:     2 * time.Second,
		JoinGrace:           400 * time.Millisecond,
		LostPeerBackoff:     800 * time.Millisecond,
		SuspectTime:         2 * time.Second,
		SourceBackoff:       50 * time.Millisecond,
		HedgeAfter:          1200 * time.Millisecond,
	}
}

// peerID identifies an agent by the IP address of its instance.
func peerID(addr string) core.InstanceID {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return core.InstanceID(addr)
	}
	return core.InstanceID(host)
}

// peers returns the agents of the engine's service, sorted by ID.
func (r *Reconciler) peers() []swarm.Peer {
	ownAddr, err := netip.ParseAddrPort(r.config.ChunkAddr)
	if err != nil {
		return nil
	}
	var peers []swarm.Peer
	for _, e := range r.serviceEngines(r.deps.Directory.View()) {
		engineAddr, err := netip.ParseAddrPort(e.Address)
		if err != nil {
			continue
		}
		peers = append(peers, swarm.Peer{
			ID:        core.InstanceID(engineAddr.Addr().String()),
			Location:  core.Location{Region: e.Region, FailureDomain: e.FailureDomain},
			ChunkAddr: netip.AddrPortFrom(engineAddr.Addr(), ownAddr.Port()).String(),
		})
	}
	slices.SortFunc(peers, func(a, b swarm.Peer) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return peers
}
