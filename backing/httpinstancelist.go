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
	instanceListService = "instance list"
	maxInstancesBytes   = 8 << 20
)

// HTTPInstanceList is the HTTP client of the instance list. It is safe for
// concurrent use.
type HTTPInstanceList struct {
	client *httpcall.Client

	mu   sync.Mutex // Guards kept.
	kept taggedInstances
}

// taggedInstances is a list with the entity tag that the service gave it.
type taggedInstances struct {
	tag       string
	instances []core.Instance
}

var _ InstanceList = (*HTTPInstanceList)(nil)

// NewHTTPInstanceList returns a client of the list.
func NewHTTPInstanceList(config HTTPConfig) *HTTPInstanceList {
	return &HTTPInstanceList{client: httpcall.New(config)}
}

// Instances implements InstanceList. It returns *UnavailableError,
// *LimitedError or *RejectedError. A list that has not changed since the last
// call is not sent again.
func (l *HTTPInstanceList) Instances(ctx context.Context) ([]core.Instance, error) {
	kept := l.last()
	request := httpcall.Request{Method: http.MethodGet, Path: "/v1/instances", Header: make(http.Header)}
	if kept.tag != "" {
		request.Header.Set("If-None-Match", kept.tag)
	}
	response, err := l.client.Do(ctx, request, maxInstancesBytes)
	if err != nil {
		return nil, mapError(instanceListService, callRead, err)
	}
	if response.Status == http.StatusNotModified && kept.tag != "" {
		return slices.Clone(kept.instances), nil
	}
	if !response.Succeeded() {
		return nil, mapError(instanceListService, callRead, response.StatusError())
	}
	var document InstancesDocument
	if err := response.Decode(&document); err != nil {
		return nil, mapError(instanceListService, callRead, err)
	}
	l.keep(taggedInstances{tag: response.Header.Get("ETag"), instances: document.Instances})
	return slices.Clone(document.Instances), nil
}

func (l *HTTPInstanceList) last() taggedInstances {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.kept
}

func (l *HTTPInstanceList) keep(t taggedInstances) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.kept = t
}
