package entry

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
	"github.com/snipestep/snipestep/intent"
	"github.com/snipestep/snipestep/platform"
	"github.com/snipestep/snipestep/wire"
)

const (
	manifestTimeout = 3 * time.Second
	maxManifests    = 16
)

// swarmServer tells agents the manifest and the targets of a transfer.
type swarmServer struct {
	held   *fleet.Generations
	routes *routes
	store  platform.WeightStore

	flights singleflight.Group

	mu        sync.Mutex // Guards manifests.
	manifests map[core.Digest][]byte
}

// serve answers one request; a manifest that cannot be had is left empty.
func (s *swarmServer) serve(ctx context.Context, st *wire.Stream, r *wire.SwarmRequest) {
	digest := wire.ToDigest(r.GetManifest())
	answer := &wire.SwarmResponse{Peers: s.targets(digest)}
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

// targets returns the agents that the configuration gives a manifest to.
func (s *swarmServer) targets(digest core.Digest) []*wire.Peer {
	doc := s.held.Current()
	view := intent.FleetView{}
	for _, instance := range s.routes.membership.View().Usable(core.RoleModel) {
		view.Agents = append(view.Agents, intent.AgentView{Instance: instance, Healthy: true})
	}
	var peers []*wire.Peer
	assigned := intent.Assign(doc, view)
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
	return peers
}
