package backing

import (
	"context"
	"net/http"
	"strconv"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/internal/httpcall"
)

// MaxChunkBytes is the largest chunk that a ChunkSource may return. It is that of a
// valid manifest, weights.MaxChunkSize.
const MaxChunkBytes = 16 << 20

// fetchChunk fetches one chunk of a manifest.
func fetchChunk(ctx context.Context, client *httpcall.Client, service string, manifest core.Digest, index int) ([]byte, error) {
	path := "/v1/manifests/" + manifest.String() + "/chunks/" + strconv.Itoa(index)
	response, err := client.Call(ctx, httpcall.Request{Method: http.MethodGet, Path: path}, MaxChunkBytes)
	if err != nil {
		return nil, mapError(service, callRead, err)
	}
	return response.Body, nil
}
