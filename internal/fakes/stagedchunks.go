package fakes

import (
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/endpoint"
)

const maxStagedManifests = 8

// stagedChunks keeps the digests of staged chunks by manifest, of the latest
// manifests only.
type stagedChunks struct {
	chunks map[core.Digest]map[int]core.Digest
	order  []core.Digest
}

func newStagedChunks() *stagedChunks {
	return &stagedChunks{chunks: map[core.Digest]map[int]core.Digest{}}
}

func (s *stagedChunks) put(manifest core.Digest, index int, digest core.Digest) {
	if s.chunks[manifest] == nil {
		s.chunks[manifest] = map[int]core.Digest{}
		s.order = append(s.order, manifest)
		s.trim()
	}
	s.chunks[manifest][index] = digest
}

func (s *stagedChunks) trim() {
	for len(s.order) > maxStagedManifests {
		delete(s.chunks, s.order[0])
		s.order = s.order[1:]
	}
}

// counts returns the staged chunks of each manifest, oldest first.
func (s *stagedChunks) counts() []endpoint.StagedManifest {
	var out []endpoint.StagedManifest
	for _, manifest := range s.order {
		out = append(out, endpoint.StagedManifest{Manifest: manifest, Chunks: len(s.chunks[manifest])})
	}
	return out
}

// compare returns how many of the manifest's chunks are missing and how many
// differ.
func (s *stagedChunks) compare(manifest core.Digest, want []core.Digest) (missing, corrupt int) {
	staged := s.chunks[manifest]
	for index, digest := range want {
		got, found := staged[index]
		switch {
		case !found:
			missing++
		case got != digest:
			corrupt++
		}
	}
	return missing, corrupt
}
