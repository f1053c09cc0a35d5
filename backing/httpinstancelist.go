package backing

import (
	"context"
	"net/http"
	"slices"
	"sync"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/internal/httpcall"
)

const (
	instanceListService  = "instance list"
	maxInstanceListBytes = 8 << 20
)

// HTTPInstanceList is the HTTP client of the instance list. It is safe for
// concurrent use.
type HTTPInstanceList struct {
	client *httpcall.Client

	mu     sync.Mutex // Guards cached.
	cached cachedInstances
}

// cachedInstances is the last list with its entity tag.
type cachedInstances struct {
	etag      string
	instances []core.Instance
}

var _ InstanceList = (*HTTPInstanceList)(nil)

// NewHTTPInstanceList returns a client of the list.
func NewHTTPInstanceList(config HTTPConfig) *HTTPInstanceList {
	return &HTTPInstanceList{client: httpcall.New(config)}
}

// Instances implements InstanceList. It returns *UnavailableError,
// *RateLimitedError or *RejectedError. The request is conditional: a list that has
// not changed since the last call is not sent again.
func (l *HTTPInstanceList) Instances(ctx context.Context) ([]core.Instance, error) {
	cached := l.cachedList()
	request := httpcall.Request{Method: http.MethodGet, Path: "/v1/instances", Header: make(http.Header)}
	if cached.etag != "" {
		request.Header.Set("If-None-Match", cached.etag)
	}
	response, err := l.client.Do(ctx, request, maxInstanceListBytes)
	if err != nil {
		return nil, mapError(instanceListService, callRead, err)
	}
	if response.Status == http.StatusNotModified && cached.etag != "" {
		return slices.Clone(cached.instances), nil
	}
	if !response.Succeeded() {
		return nil, mapError(instanceListService, callRead, response.StatusError())
	}
	var document InstancesDocument
	if err := response.Decode(&document); err != nil {
		return nil, mapError(instanceListService, callRead, err)
	}
	l.setCached(cachedInstances{etag: response.Header.Get("ETag"), instances: document.Instances})
	return slices.Clone(document.Instances), nil
}

func (l *HTTPInstanceList) cachedList() cachedInstances {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cached
}

func (l *HTTPInstanceList) setCached(list cachedInstances) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cached = list
}
