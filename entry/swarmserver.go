package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/singleflight"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
	"github.com/snipestep/snipestep/intent"
	"github.com/snipestep/snipestep/wire"
)

const (
	manifestTimeout = 3 * time.Second
	maxManifests    = 16
)

// swarmServer serves the manifest and the targets of weight transfers to agents.
type swarmServer struct {
	documents   *fleet.DocumentHolder
	routes      *routes
	weightStore backing.WeightStore

	manifestReads singleflight.Group

	mu        sync.Mutex // Guards manifests.
	manifests map[core.Digest][]byte
}

// serve handles one request. It ends the stream without a response if the
// manifest cannot be read or the configuration in force does not place it: an
// entry with an older configuration cannot know the targets.
func (s *swarmServer) serve(ctx context.Context, stream *wire.Stream, request *wire.SwarmRequest) {
	digest := wire.DigestFromBytes(request.GetManifest())
	peers, placed := s.targets(digest)
	if !placed {
		return
	}
	response := &wire.SwarmResponse{TargetsHash: targetsHash(peers)}
	if response.GetTargetsHash() != request.GetTargetsHash() {
		response.Peers = peers
	}
	if request.GetWantManifest() {
		manifest, err := s.manifest(ctx, digest)
		if err != nil {
			return
		}
		response.Manifest = manifest
	}
	_ = stream.Send(response)
}

// manifest returns an encoded manifest, cached after the first read.
func (s *swarmServer) manifest(ctx context.Context, digest core.Digest) ([]byte, error) {
	s.mu.Lock()
	cached := s.manifests[digest]
	s.mu.Unlock()
	if cached != nil {
		return cached, nil
	}
	read, err, _ := s.manifestReads.Do(digest.String(), func() (any, error) {
		ctx, cancel := context.WithTimeout(ctx, manifestTimeout)
		defer cancel()
		return s.weightStore.Manifest(ctx, digest)
	})
	if err != nil {
		return nil, err
	}
	s.cacheManifest(digest, read.([]byte))
	return read.([]byte), nil
}

func (s *swarmServer) cacheManifest(digest core.Digest, manifest []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.manifests) >= maxManifests {
		clear(s.manifests)
	}
	s.manifests[digest] = manifest
}

// targets returns the agents to which the configuration assigns a manifest, or
// false if it does not place the manifest.
func (s *swarmServer) targets(digest core.Digest) ([]*wire.Peer, bool) {
	doc := s.documents.Current()
	if !isPlaced(doc, digest) {
		return nil, false
	}
	view := intent.FleetView{}
	// Heartbeats are ignored: agents that leave this entry's subset stop sending
	// them here, and all entries must return the same targets. The transfer itself
	// skips unreachable targets.
	for _, m := range s.routes.membership.View().Instances {
		if m.Listed && !m.Leaving && m.Instance.Role == core.RoleModel {
			view.Agents = append(view.Agents, intent.AgentView{Instance: m.Instance, Healthy: true})
		}
	}
	var peers []*wire.Peer
	assigned := intent.AssignPlacements(doc, view)
	for _, a := range view.Agents {
		i, ok := assigned[a.Instance.ID]
		if !ok || doc.Placements[i].Model.Manifest != digest {
			continue
		}
		peers = append(peers, &wire.Peer{
			Instance:      string(a.Instance.ID),
			Region:        a.Instance.Location.Region,
			FailureDomain: a.Instance.Location.FailureDomain,
			ChunkAddr:     a.Instance.ChunkAddr,
		})
	}
	return peers, true
}

// targetsHash identifies a list of targets; it is never 0.
func targetsHash(peers []*wire.Peer) uint64 {
	hash := xxhash.New()
	for _, p := range peers {
		// WriteString of a hash never fails.
		_, _ = hash.WriteString(p.GetInstance() + "\x00" + p.GetChunkAddr() + "\x00")
	}
	return max(hash.Sum64(), 1)
}

// isPlaced reports whether a configuration places a manifest.
func isPlaced(doc *fleet.Document, digest core.Digest) bool {
	return slices.ContainsFunc(doc.Placements, func(p fleet.Placement) bool {
		return p.Model.Manifest == digest
	})
}
