package fakes

import (
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/endpoint"
)

const maxStagedManifests = 8

// stagedChunks keeps the digests of the staged chunks of the latest manifests.
type stagedChunks struct {
	digests   map[core.Digest]map[int]core.Digest
	manifests []core.Digest
}

func newStagedChunks() *stagedChunks {
	return &stagedChunks{digests: map[core.Digest]map[int]core.Digest{}}
}

func (s *stagedChunks) put(manifest core.Digest, index int, digest core.Digest) {
	if s.digests[manifest] == nil {
		s.digests[manifest] = map[int]core.Digest{}
		s.manifests = append(s.manifests, manifest)
		s.evictOldest()
	}
	s.digests[manifest][index] = digest
}

func (s *stagedChunks) evictOldest() {
	for len(s.manifests) > maxStagedManifests {
		delete(s.digests, s.manifests[0])
		s.manifests = s.manifests[1:]
	}
}

// chunkCounts returns the number of staged chunks of each manifest, oldest first.
func (s *stagedChunks) chunkCounts() []endpoint.StagedManifest {
	var counts []endpoint.StagedManifest
	for _, manifest := range s.manifests {
		counts = append(counts, endpoint.StagedManifest{Manifest: manifest, Chunks: len(s.digests[manifest])})
	}
	return counts
}

// compare returns how many of the manifest's chunks are missing and how many
// differ.
func (s *stagedChunks) compare(manifest core.Digest, want []core.Digest) (missing, corrupt int) {
	staged := s.digests[manifest]
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
