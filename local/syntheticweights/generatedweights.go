package syntheticweights

import (
	"encoding/binary"
	"math/rand/v2"
	"os"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/internal/fakes"
	"github.com/snipestep/snipestep/local/load"
	"github.com/snipestep/snipestep/weights"
)

// generatedWeights is a version of weights generated from a seed. Its chunks are
// generated again for each read, so that the origin holds no copy in memory.
type generatedWeights struct {
	seed     int64
	manifest *weights.Manifest
}

// Generate returns a version of load.ModelName with size random bytes.
func Generate(seed int64, version string, size int64) fakes.Weights {
	generated := &generatedWeights{seed: seed, manifest: &weights.Manifest{
		Model:     load.ModelName,
		Version:   version,
		ChunkSize: weights.DefaultChunkSize,
		Size:      size,
		Files:     []weights.File{{Path: "model.safetensors", Size: size}},
	}}
	chunks := (size + weights.DefaultChunkSize - 1) / weights.DefaultChunkSize
	generated.manifest.Chunks = make([]core.Digest, chunks)
	for i := range generated.manifest.Chunks {
		generated.manifest.Chunks[i] = core.SumDigest(generated.chunk(i))
	}
	read := func(index int) ([]byte, error) { return generated.chunk(index), nil }
	return newFakeWeights(generated.manifest, read)
}

// chunk generates the bytes of a chunk.
func (g *generatedWeights) chunk(index int) []byte {
	var seed [32]byte
	binary.LittleEndian.PutUint64(seed[:], uint64(g.seed))
	binary.LittleEndian.PutUint64(seed[8:], uint64(index))
	copy(seed[16:], g.manifest.Version)
	data := make([]byte, g.manifest.ChunkLength(index))
	// ChaCha8 never fails.
	_, _ = rand.NewChaCha8(seed).Read(data)
	return data
}

// ReadDir returns a version of load.ModelName that holds the files of a directory.
func ReadDir(dir, version string) (fakes.Weights, error) {
	files := os.DirFS(dir)
	manifest, err := weights.Build(load.ModelName, version, files, weights.DefaultChunkSize)
	if err != nil {
		return fakes.Weights{}, eris.Wrapf(err, "build the manifest of the weights in %s", dir)
	}
	return newFakeWeights(manifest, weights.NewChunkReader(files, manifest).Chunk), nil
}

func newFakeWeights(manifest *weights.Manifest, read fakes.ChunkReader) fakes.Weights {
	return fakes.Weights{
		Ref:        manifest.Ref(),
		Manifest:   manifest.Encode(),
		ChunkCount: len(manifest.Chunks),
		ReadChunk:  read,
	}
}

// ChunkDigests returns the digests of the chunks in an encoded manifest.
func ChunkDigests(encoded []byte) ([]core.Digest, error) {
	manifest, err := weights.DecodeManifest(encoded, core.SumDigest(encoded))
	if err != nil {
		return nil, err
	}
	return manifest.Chunks, nil
}

// Size returns the size of the weights in bytes.
func Size(w fakes.Weights) (int64, error) {
	manifest, err := weights.DecodeManifest(w.Manifest, w.Ref.Manifest)
	if err != nil {
		return 0, err
	}
	return manifest.Size, nil
}
