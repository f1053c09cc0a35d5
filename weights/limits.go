package weights

// Limits of a manifest.
const (
	// MinChunkSize is the smallest chunk size in bytes.
	MinChunkSize = 1 << 10
	// MaxChunkSize is the largest chunk size in bytes.
	MaxChunkSize = 16 << 20
	// MaxChunks is the largest number of chunks of a manifest.
	MaxChunks = 1 << 18
	// MaxFiles is the largest number of files of a manifest.
	MaxFiles = 1 << 14
	// MaxPathLength is the longest path of a file in bytes.
	MaxPathLength = 1024
	// MaxNameLength is the longest name of a model or version in bytes.
	MaxNameLength = 256
	// MaxManifestSize is the largest encoded manifest in bytes.
	MaxManifestSize = 32 << 20
	// DefaultChunkSize is the chunk size for Build when none is given.
	DefaultChunkSize = 256 << 10
)
