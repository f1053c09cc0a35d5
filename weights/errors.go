package weights

import (
	"fmt"

	"github.com/snipestep/snipestep/core"
)

// ManifestError reports a manifest that exceeds a limit or is inconsistent.
type ManifestError struct {
	Field  string
	Detail string
}

// Error implements error.
func (e *ManifestError) Error() string {
	return fmt.Sprintf("manifest field %s: %s", e.Field, e.Detail)
}

// DigestMismatchError reports a manifest whose bytes have another digest.
type DigestMismatchError struct {
	Want, Got core.Digest
}

// Error implements error.
func (e *DigestMismatchError) Error() string {
	return fmt.Sprintf("manifest has digest %s, want %s", e.Got, e.Want)
}

// CorruptChunkError reports chunk bytes that do not match the manifest.
type CorruptChunkError struct {
	Chunk     int
	Want, Got core.Digest
}

// Error implements error.
func (e *CorruptChunkError) Error() string {
	return fmt.Sprintf("chunk %d has digest %s, want %s", e.Chunk, e.Got, e.Want)
}

// ChunkIndexError reports a chunk index outside the manifest.
type ChunkIndexError struct {
	Chunk, Chunks int
}

// Error implements error.
func (e *ChunkIndexError) Error() string {
	return fmt.Sprintf("chunk %d does not exist, the manifest has %d", e.Chunk, e.Chunks)
}

// FileSizeError reports a file whose size differs from the manifest's.
type FileSizeError struct {
	Path string
	Want int64
}

// Error implements error.
func (e *FileSizeError) Error() string {
	return fmt.Sprintf("file %q does not have the manifest's %d bytes", e.Path, e.Want)
}
