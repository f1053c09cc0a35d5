package madeweights

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

// made is one version of weights made from the seed. Its chunks are made anew
// for each read, so that the origin holds no copy.
type made struct {
	seed     int64
	manifest *weights.Manifest
}

// Make returns a version of load.ModelName of size bytes.
func Make(seed int64, version string, size int64) fakes.Weights {
	m := &made{seed: seed, manifest: &weights.Manifest{
		Model:     load.ModelName,
		Version:   version,
		ChunkSize: weights.DefaultChunkSize,
		Size:      size,
		Files:     []weights.File{{Path: "model.safetensors", Size: size}},
	}}
	chunks := (size + weights.DefaultChunkSize - 1) / weights.DefaultChunkSize
	m.manifest.Chunks = make([]core.Digest, chunks)
	for i := range m.manifest.Chunks {
		m.manifest.Chunks[i] = core.SumDigest(m.chunk(i))
	}
	read := func(index int) ([]byte, error) { return m.chunk(index), nil }
	return published(m.manifest, read)
}

// chunk returns the bytes of a chunk.
func (m *made) chunk(index int) []byte {
	var seed [32]byte
	binary.LittleEndian.PutUint64(seed[:], uint64(m.seed))
	binary.LittleEndian.PutUint64(seed[8:], uint64(index))
	copy(seed[16:], m.manifest.Version)
	data := make([]byte, m.manifest.ChunkLength(index))
	// ChaCha8 never fails.
	_, _ = rand.NewChaCha8(seed).Read(data)
	return data
}

// Read returns a version made of the files in a directory.
func Read(dir, version string) (fakes.Weights, error) {
	files := os.DirFS(dir)
	manifest, err := weights.Build(load.ModelName, version, files, weights.DefaultChunkSize)
	if err != nil {
		return fakes.Weights{}, eris.Wrapf(err, "weights in %s", dir)
	}
	return published(manifest, weights.NewChunkReader(files, manifest).Chunk), nil
}

func published(manifest *weights.Manifest, read fakes.ChunkReader) fakes.Weights {
	return fakes.Weights{
		Ref:      manifest.Ref(),
		Manifest: manifest.Encode(),
		Chunks:   len(manifest.Chunks),
		Read:     read,
	}
}

// ChunkDigests decodes a manifest for the engines.
func ChunkDigests(encoded []byte) ([]core.Digest, error) {
	manifest, err := weights.DecodeManifest(encoded, core.SumDigest(encoded))
	if err != nil {
		return nil, err
	}
	return manifest.Chunks, nil
}

// Size returns the size of weights in bytes.
func Size(w fakes.Weights) (int64, error) {
	manifest, err := weights.DecodeManifest(w.Manifest, w.Ref.Manifest)
	if err != nil {
		return 0, err
	}
	return manifest.Size, nil
}
