package endpoint

import "github.com/snipestep/snipestep/core"

// EngineStatus says what an engine serves. Serving, Adapters, Role and Fence
// are exact when the engine answers; the load lags; cache entries come late
// and with gaps.
type EngineStatus struct {
	// Serving is zero while no weights are loaded.
	Serving  core.ModelRef `json:"serving"`
	Adapters []string      `json:"adapters,omitempty"`
	Role     string        `json:"role,omitempty"`
	// Fence is the highest fencing number seen; 0 from an engine that
	// ignores fencing or restarted.
	Fence   core.Fence `json:"fence"`
	Slots   int        `json:"slots"`
	Running int        `json:"running"`
	Queued  int        `json:"queued"`
	// CachedPrefixes are values of PromptPrefix.
	CachedPrefixes []uint64 `json:"cached_prefixes,omitempty"`
	// Staged are the manifests with staged chunks; exact. An engine that
	// restarted has lost them.
	Staged []StagedManifest `json:"staged,omitempty"`
}

// StagedManifest counts the staged chunks of one manifest.
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
