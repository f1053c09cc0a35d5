package fakes

import (
	"net/http"
	"strconv"

	"github.com/snipestep/snipestep/core"
)

const chunkPattern = "GET /v1/manifests/{manifest}/chunks/{index}"

// parseChunkPath reads the manifest and the chunk index from the URL path.
func parseChunkPath(r *http.Request) (core.Digest, int, bool) {
	manifest, err := core.ParseDigest(r.PathValue("manifest"))
	if err != nil {
		return manifest, 0, false
	}
	index, err := strconv.Atoi(r.PathValue("index"))
	return manifest, index, err == nil && index >= 0
}
