package endpoint

import "github.com/snipestep/snipestep/core"

// EngineStatus describes what an engine serves. Serving, Adapters, Role, Fence
// and Staged are exact at the time of the answer; the load lags, and
// CachedPrefixes lag and are incomplete.
type EngineStatus struct {
	// Serving is the zero value while no weights are loaded.
	Serving  core.ModelRef `json:"serving"`
	Adapters []string      `json:"adapters,omitempty"`
	Role     string        `json:"role,omitempty"`
	// Fence is the highest fencing number that the engine has seen; 0 if it
	// ignores fencing or has restarted.
	Fence   core.Fence `json:"fence"`
	Slots   int        `json:"slots"`
	Running int        `json:"running"`
	Queued  int        `json:"queued"`
	// CachedPrefixes are values of PromptPrefixHash.
	CachedPrefixes []uint64 `json:"cached_prefixes,omitempty"`
	// Staged lists the manifests with staged chunks. An engine loses them when
	// it restarts.
	Staged []StagedManifest `json:"staged,omitempty"`
}

// StagedManifest is the number of staged chunks of one manifest.
type StagedManifest struct {
	Manifest core.Digest `json:"manifest"`
	Chunks   int         `json:"chunks"`
}

// StagedChunks returns the number of staged chunks of a manifest.
func (s EngineStatus) StagedChunks(manifest core.Digest) int {
	for _, staged := range s.Staged {
		if staged.Manifest == manifest {
			return staged.Chunks
		}
	}
	return 0
}
