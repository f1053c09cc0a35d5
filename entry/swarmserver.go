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

// swarmServer tells agents the manifest and the targets of a transfer.
type swarmServer struct {
	held   *fleet.DocumentHolder
	routes *routes
	store  backing.WeightStore

	flights singleflight.Group

	mu        sync.Mutex // Guards manifests.
	manifests map[core.Digest][]byte
}

// serve answers one request. It ends the stream without an answer when the
// manifest cannot be had or the configuration in force does not place it: an
// entry whose configuration is behind cannot know the targets.
func (s *swarmServer) serve(ctx context.Context, st *wire.Stream, r *wire.SwarmRequest) {
	digest := wire.DigestFromBytes(r.GetManifest())
	peers, placed := s.targets(digest)
	if !placed {
		return
	}
	answer := &wire.SwarmResponse{TargetsHash: targetsHash(peers)}
	if answer.GetTargetsHash() != r.GetTargetsHash() {
		answer.Peers = peers
	}
	if r.GetWantManifest() {
		manifest, err := s.manifest(ctx, digest)
		if err != nil {
			return
		}
		answer.Manifest = manifest
	}
	_ = st.Send(answer)
}

// manifest returns an encoded manifest, from the store at first use.
func (s *swarmServer) manifest(ctx context.Context, digest core.Digest) ([]byte, error) {
	s.mu.Lock()
	held := s.manifests[digest]
	s.mu.Unlock()
	if held != nil {
		return held, nil
	}
	got, err, _ := s.flights.Do(digest.String(), func() (any, error) {
		ctx, cancel := context.WithTimeout(ctx, manifestTimeout)
		defer cancel()
		return s.store.Manifest(ctx, digest)
	})
	if err != nil {
		return nil, err
	}
	s.keep(digest, got.([]byte))
	return got.([]byte), nil
}

func (s *swarmServer) keep(digest core.Digest, manifest []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.manifests) >= maxManifests {
		clear(s.manifests)
	}
	s.manifests[digest] = manifest
}

// targets returns the agents that the configuration gives a manifest to, or
// false if it places the manifest nowhere.
func (s *swarmServer) targets(digest core.Digest) ([]*wire.Peer, bool) {
	doc := s.held.Current()
	if !places(doc, digest) {
		return nil, false
	}
	view := intent.FleetView{}
	// Heartbeats do not count: those of agents that left this entry's subset
	// end, and every entry shall give the same answer. The transfer itself
	// passes over targets that are lost.
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
		// Writing to a hash does not fail.
		_, _ = hash.WriteString(p.GetInstance() + "\x00" + p.GetChunkAddr() + "\x00")
	}
	return max(hash.Sum64(), 1)
}

// places reports whether a configuration names a manifest.
func places(doc *fleet.Document, digest core.Digest) bool {
	return slices.ContainsFunc(doc.Placements, func(p fleet.Placement) bool {
		return p.Model.Manifest == digest
	})
}
