package backing

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/snipestep/snipestep/internal/httpcall"
)

const (
	keyValueService = "key-value service"
	// MaxValueBytes is the longest value that the service holds.
	MaxValueBytes = 1 << 20
	// MaxListBytes bounds the answer of a list.
	MaxListBytes = 64 << 20
	// MaxListLimit is the most entries that one list returns.
	MaxListLimit  = 1000
	maxEntryBytes = 2 * MaxValueBytes
	maxAckBytes   = 64 << 10
	watchWait     = 30 * time.Second
)

// HTTPKeyValue is the HTTP client of the key-value service. It is safe for
// concurrent use.
type HTTPKeyValue struct {
	client  *httpcall.Client
	watcher *httpcall.Client
}

var _ KeyValue = (*HTTPKeyValue)(nil)

// NewHTTPKeyValue returns a client of the service.
func NewHTTPKeyValue(config HTTPConfig) *HTTPKeyValue {
	watching := config
	if watching.Timeout > 0 {
		watching.Timeout += watchWait
	}
	if watching.Client != nil && watching.Client.Timeout > 0 {
		client := *watching.Client
		client.Timeout += watchWait
		watching.Client = &client
	}
	return &HTTPKeyValue{client: httpcall.New(config), watcher: httpcall.New(watching)}
}

// Get implements KeyValue.
func (k *HTTPKeyValue) Get(ctx context.Context, key string) (KeyValueEntry, error) {
	request := httpcall.Request{Method: http.MethodGet, Path: "/v1/kv?" + url.Values{"key": {key}}.Encode()}
	response, err := k.client.Call(ctx, request, MaxValueBytes)
	if err != nil {
		return KeyValueEntry{}, mapError(keyValueService, callRead, err)
	}
	version, err := answeredVersion(response)
	if err != nil {
		return KeyValueEntry{}, mapError(keyValueService, callRead, err)
	}
	return KeyValueEntry{Key: key, Value: response.Body, Version: version}, nil
}

// CompareAndSwap implements KeyValue.
func (k *HTTPKeyValue) CompareAndSwap(ctx context.Context, key string, version uint64, value []byte, lease LeaseID) (uint64, error) {
	query := versionQuery(key, version)
	if lease != 0 {
		query.Set("lease", formatUint(uint64(lease)))
	}
	request := httpcall.Request{Method: http.MethodPut, Path: "/v1/kv?" + query.Encode(), Body: value}
	response, err := k.client.Call(ctx, request, maxAckBytes)
	if err != nil {
		return 0, mapWrite(key, err)
	}
	written, err := answeredVersion(response)
	if err != nil {
		return 0, mapWrite(key, err)
	}
	return written, nil
}

// Delete implements KeyValue.
func (k *HTTPKeyValue) Delete(ctx context.Context, key string, version uint64) error {
	request := httpcall.Request{Method: http.MethodDelete, Path: "/v1/kv?" + versionQuery(key, version).Encode()}
	_, err := k.client.Call(ctx, request, maxAckBytes)
	if err != nil {
		return mapWrite(key, err)
	}
	return nil
}

// List implements KeyValue.
func (k *HTTPKeyValue) List(ctx context.Context, prefix, after string, limit int) ([]KeyValueEntry, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	request := httpcall.Request{Method: http.MethodGet, Path: "/v1/list?" + query.Encode()}
	response, err := k.client.Call(ctx, request, MaxListBytes)
	if err != nil {
		return nil, mapError(keyValueService, callRead, err)
	}
	var document ListDocument
	if err := response.Decode(&document); err != nil {
		return nil, mapError(keyValueService, callRead, err)
	}
	return document.entries(), nil
}

// Watch implements KeyValue. Each long poll counts as one call of the
// service; the client polls again until something changed.
func (k *HTTPKeyValue) Watch(ctx context.Context, key string, version uint64) (KeyValueEntry, error) {
	query := versionQuery(key, version)
	query.Set("wait_ms", strconv.FormatInt(watchWait.Milliseconds(), 10))
	request := httpcall.Request{Method: http.MethodGet, Path: "/v1/watch?" + query.Encode()}
	for {
		response, err := k.watcher.Call(ctx, request, maxEntryBytes)
		if err != nil {
			return KeyValueEntry{}, mapError(keyValueService, callRead, err)
		}
		if response.Status == http.StatusNoContent {
			continue
		}
		var document EntryDocument
		if err := response.Decode(&document); err != nil {
			return KeyValueEntry{}, mapError(keyValueService, callRead, err)
		}
		return document.entry(), nil
	}
}

// Grant implements KeyValue.
func (k *HTTPKeyValue) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	query := url.Values{"ttl_ms": {strconv.FormatInt(ttl.Milliseconds(), 10)}}
	request := httpcall.Request{Method: http.MethodPost, Path: "/v1/leases?" + query.Encode()}
	response, err := k.client.Call(ctx, request, maxAckBytes)
	if err != nil {
		return 0, mapError(keyValueService, callWrite, err)
	}
	var document LeaseDocument
	if err := response.Decode(&document); err != nil {
		return 0, mapError(keyValueService, callWrite, err)
	}
	return document.Lease, nil
}

// KeepAlive implements KeyValue.
func (k *HTTPKeyValue) KeepAlive(ctx context.Context, lease LeaseID) error {
	return k.leaseCall(ctx, http.MethodPut, lease)
}

// Revoke implements KeyValue.
func (k *HTTPKeyValue) Revoke(ctx context.Context, lease LeaseID) error {
	return k.leaseCall(ctx, http.MethodDelete, lease)
}

func (k *HTTPKeyValue) leaseCall(ctx context.Context, method string, lease LeaseID) error {
	request := httpcall.Request{Method: method, Path: "/v1/leases/" + formatUint(uint64(lease))}
	_, err := k.client.Call(ctx, request, maxAckBytes)
	if err != nil {
		return mapError(keyValueService, callWrite, err)
	}
	return nil
}

func mapWrite(key string, err error) error {
	var status *httpcall.StatusError
	if errors.As(err, &status) && status.Status == http.StatusConflict {
		return &ConflictError{Key: key, Actual: status.Document.Version}
	}
	return mapError(keyValueService, callWrite, err)
}

func versionQuery(key string, version uint64) url.Values {
	return url.Values{"key": {key}, "version": {formatUint(version)}}
}

func answeredVersion(response *httpcall.Response) (uint64, error) {
	version, err := strconv.ParseUint(response.Header.Get(VersionHeader), 10, 64)
	if err != nil {
		return 0, &httpcall.FormatError{Cause: err}
	}
	return version, nil
}

func formatUint(value uint64) string {
	return strconv.FormatUint(value, 10)
}
