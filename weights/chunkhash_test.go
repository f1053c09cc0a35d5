package weights

import (
	"crypto/sha256"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/core"
)

func TestSetVerifiesByTheManifestsHash(t *testing.T) {
	data := make([]byte, MinChunkSize)
	for hash, digest := range map[ChunkHash]core.Digest{
		HashBLAKE3: core.SumDigest(data),
		HashSHA256: sha256.Sum256(data),
	} {
		m := &Manifest{ChunkSize: MinChunkSize, Size: MinChunkSize, Chunks: []core.Digest{digest}, Hash: hash}
		assert.NilError(t, NewSet(m).Put(0, data))
		otherHash := &Manifest{ChunkSize: MinChunkSize, Size: MinChunkSize, Chunks: []core.Digest{digest}, Hash: HashSHA256 - hash}
		assert.Assert(t, NewSet(otherHash).Put(0, data) != nil)
	}
}
