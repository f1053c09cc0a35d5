package backing

import (
	"context"
	"net/http"
	"net/url"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/internal/httpcall"
)

const (
	weightStoreService = "weight store"
	// MaxManifestBytes is the longest encoded manifest.
	MaxManifestBytes = 16 << 20
)

// HTTPWeightStore is the HTTP client of the weight store. It is safe for
// concurrent use.
type HTTPWeightStore struct {
	client *httpcall.Client
}

var _ WeightStore = (*HTTPWeightStore)(nil)

// NewHTTPWeightStore returns a client of the store.
func NewHTTPWeightStore(config HTTPConfig) *HTTPWeightStore {
	return &HTTPWeightStore{client: httpcall.New(config)}
}

// Chunk implements ChunkSource.
func (s *HTTPWeightStore) Chunk(ctx context.Context, manifest core.Digest, index int) ([]byte, error) {
	return fetchChunk(ctx, s.client, weightStoreService, manifest, index)
}

// Manifest implements WeightStore.
func (s *HTTPWeightStore) Manifest(ctx context.Context, manifest core.Digest) ([]byte, error) {
	request := httpcall.Request{Method: http.MethodGet, Path: "/v1/manifests/" + manifest.String()}
	response, err := s.client.Call(ctx, request, MaxManifestBytes)
	if err != nil {
		return nil, mapError(weightStoreService, callRead, err)
	}
	return response.Body, nil
}

// Resolve implements WeightStore.
func (s *HTTPWeightStore) Resolve(ctx context.Context, model, version string) (core.ModelRef, error) {
	path := "/v1/models/" + url.PathEscape(model) + "/versions/" + url.PathEscape(version)
	response, err := s.client.Call(ctx, httpcall.Request{Method: http.MethodGet, Path: path}, maxSmallResponseBytes)
	if err != nil {
		return core.ModelRef{}, mapError(weightStoreService, callRead, err)
	}
	var ref core.ModelRef
	if err := response.Decode(&ref); err != nil {
		return core.ModelRef{}, mapError(weightStoreService, callRead, err)
	}
	return ref, nil
}
