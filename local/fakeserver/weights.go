package fakeserver

import (
	"math/rand/v2"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/internal/fakes"
	"github.com/snipestep/snipestep/weights"
)

const madeBytes = 4 << 20

// publish makes both versions known to the origin and the weight store.
func (s *Server) publish() error {
	for _, version := range []string{Version1, Version2} {
		dir, err := s.weightsDir(version)
		if err != nil {
			return err
		}
		files := os.DirFS(dir)
		manifest, err := weights.Build(Model, version, files, weights.DefaultChunkSize)
		if err != nil {
			return eris.Wrapf(err, "weights in %s", dir)
		}
		published := fakes.Weights{
			Ref:      manifest.Ref(),
			Manifest: manifest.Encode(),
			Chunks:   len(manifest.Chunks),
			Read:     weights.ChunkReader(files, manifest).Chunk,
		}
		s.origin.Publish(published)
		s.store.Publish(published)
	}
	return nil
}

// weightsDir returns the files of a version, made from its name unless given.
func (s *Server) weightsDir(version string) (string, error) {
	if s.config.WeightsDir != "" && version == Version1 {
		return s.config.WeightsDir, nil
	}
	dir := filepath.Join(s.config.Dir, "weights-"+version)
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return "", eris.Wrap(err, "make the weights' directory")
	}
	data := make([]byte, madeBytes)
	// ChaCha8 never fails.
	_, _ = rand.NewChaCha8(core.SumDigest([]byte(version))).Read(data)
	err := os.WriteFile(filepath.Join(dir, "model.safetensors"), data, 0o600)
	return dir, eris.Wrap(err, "write made weights")
}

// chunkDigests decodes a manifest for the engines.
func chunkDigests(encoded []byte) ([]core.Digest, error) {
	manifest, err := weights.DecodeManifest(encoded, core.SumDigest(encoded))
	if err != nil {
		return nil, err
	}
	return manifest.Chunks, nil
}
