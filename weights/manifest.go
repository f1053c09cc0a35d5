package weights

import (
	"crypto/sha256"
	"io/fs"

	"github.com/snipestep/snipestep/core"
)

// Manifest describes one model version: its files, concatenated in order and
// cut into chunks of ChunkSize bytes; the last chunk may be shorter.
type Manifest struct {
	Model, Version string
	ChunkSize      int   // Bytes.
	Size           int64 // Sum of the files' sizes in bytes.
	Files          []File
	Chunks         []core.Digest
	// Hash is the hash function of Chunks; the zero value is BLAKE3.
	Hash ChunkHash
}

// SumChunk returns the digest of a chunk's bytes by the manifest's hash.
func (m *Manifest) SumChunk(data []byte) core.Digest {
	if m.Hash == HashSHA256 {
		return sha256.Sum256(data)
	}
	return core.SumDigest(data)
}

// Digest returns the digest of the encoded manifest.
func (m *Manifest) Digest() core.Digest {
	return core.SumDigest(m.Encode())
}

// Ref returns the model reference that binds the version to its bytes.
func (m *Manifest) Ref() core.ModelRef {
	return core.ModelRef{Model: m.Model, Version: m.Version, Manifest: m.Digest()}
}

// ChunkLength returns the length of chunk i in bytes, or 0 if it does not exist.
func (m *Manifest) ChunkLength(i int) int {
	if i < 0 || i >= len(m.Chunks) {
		return 0
	}
	return int(min(int64(m.ChunkSize), m.Size-int64(i)*int64(m.ChunkSize)))
}

// Validate checks all limits and that the fields are consistent. It returns
// *ManifestError.
func (m *Manifest) Validate() error {
	if err := m.validateNames(); err != nil {
		return err
	}
	if m.ChunkSize < MinChunkSize || m.ChunkSize > MaxChunkSize {
		return &ManifestError{Field: "chunk_size", Detail: "out of range"}
	}
	if err := m.validateFiles(); err != nil {
		return err
	}
	want := chunkCount(m.Size, m.ChunkSize)
	if want > MaxChunks || int64(len(m.Chunks)) != want {
		return &ManifestError{Field: "chunks", Detail: "count does not match size"}
	}
	return nil
}

func (m *Manifest) validateNames() error {
	if m.Model == "" || len(m.Model) > MaxNameLength {
		return &ManifestError{Field: "model", Detail: "empty or too long"}
	}
	if m.Version == "" || len(m.Version) > MaxNameLength {
		return &ManifestError{Field: "version", Detail: "empty or too long"}
	}
	return nil
}

func (m *Manifest) validateFiles() error {
	if len(m.Files) == 0 || len(m.Files) > MaxFiles {
		return &ManifestError{Field: "files", Detail: "none or too many"}
	}
	limit := int64(m.ChunkSize) * MaxChunks
	var sum int64
	for i, f := range m.Files {
		if !validPath(f.Path) {
			return &ManifestError{Field: "files", Detail: "path is not relative and clean"}
		}
		if i > 0 && m.Files[i-1].Path >= f.Path {
			return &ManifestError{Field: "files", Detail: "paths are not in order"}
		}
		if f.Size < 0 || f.Size > limit-sum {
			return &ManifestError{Field: "files", Detail: "size out of range"}
		}
		sum += f.Size
	}
	if sum != m.Size || sum == 0 {
		return &ManifestError{Field: "size", Detail: "zero or not the sum of the files"}
	}
	return nil
}

func validPath(path string) bool {
	return path != "." && len(path) <= MaxPathLength && fs.ValidPath(path)
}

func chunkCount(size int64, chunkSize int) int64 {
	return (size + int64(chunkSize) - 1) / int64(chunkSize)
}
