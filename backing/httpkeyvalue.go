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
	// MaxValueBytes is the largest value that the service stores.
	MaxValueBytes = 1 << 20
	// MaxListResponseBytes limits the response to a List call.
	MaxListResponseBytes = 64 << 20
	// MaxListLimit is the maximum number of entries that one List call returns.
	MaxListLimit          = 1000
	maxWatchResponseBytes = 2 * MaxValueBytes
	maxSmallResponseBytes = 64 << 10
	longPollWait          = 30 * time.Second
)

// HTTPKeyValue is the HTTP client of the key-value service. It is safe for
// concurrent use.
type HTTPKeyValue struct {
	client         *httpcall.Client
	longPollClient *httpcall.Client
}

var _ KeyValue = (*HTTPKeyValue)(nil)

// NewHTTPKeyValue returns a client of the service.
func NewHTTPKeyValue(config HTTPConfig) *HTTPKeyValue {
	longPollConfig := config
	if longPollConfig.Timeout > 0 {
		longPollConfig.Timeout += longPollWait
	}
	if longPollConfig.Client != nil && longPollConfig.Client.Timeout > 0 {
		client := *longPollConfig.Client
		client.Timeout += longPollWait
		longPollConfig.Client = &client
	}
	return &HTTPKeyValue{client: httpcall.New(config), longPollClient: httpcall.New(longPollConfig)}
}

// Get implements KeyValue.
func (k *HTTPKeyValue) Get(ctx context.Context, key string) (KeyValueEntry, error) {
	request := httpcall.Request{Method: http.MethodGet, Path: "/v1/kv?" + url.Values{"key": {key}}.Encode()}
	response, err := k.client.Call(ctx, request, MaxValueBytes)
	if err != nil {
		return KeyValueEntry{}, mapError(keyValueService, callRead, err)
	}
	version, err := parseVersionHeader(response)
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
	response, err := k.client.Call(ctx, request, maxSmallResponseBytes)
	if err != nil {
		return 0, mapWriteError(key, err)
	}
	newVersion, err := parseVersionHeader(response)
	if err != nil {
		return 0, mapWriteError(key, err)
	}
	return newVersion, nil
}

// Delete implements KeyValue.
func (k *HTTPKeyValue) Delete(ctx context.Context, key string, version uint64) error {
	request := httpcall.Request{Method: http.MethodDelete, Path: "/v1/kv?" + versionQuery(key, version).Encode()}
	_, err := k.client.Call(ctx, request, maxSmallResponseBytes)
	if err != nil {
		return mapWriteError(key, err)
	}
	return nil
}

// List implements KeyValue.
func (k *HTTPKeyValue) List(ctx context.Context, prefix, after string, limit int) ([]KeyValueEntry, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	request := httpcall.Request{Method: http.MethodGet, Path: "/v1/list?" + query.Encode()}
	response, err := k.client.Call(ctx, request, MaxListResponseBytes)
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
// service; the client polls until the version changes.
func (k *HTTPKeyValue) Watch(ctx context.Context, key string, version uint64) (KeyValueEntry, error) {
	query := versionQuery(key, version)
	query.Set("wait_ms", strconv.FormatInt(longPollWait.Milliseconds(), 10))
	request := httpcall.Request{Method: http.MethodGet, Path: "/v1/watch?" + query.Encode()}
	for {
		response, err := k.longPollClient.Call(ctx, request, maxWatchResponseBytes)
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
	response, err := k.client.Call(ctx, request, maxSmallResponseBytes)
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
	return k.callLease(ctx, http.MethodPut, lease)
}

// Revoke implements KeyValue.
func (k *HTTPKeyValue) Revoke(ctx context.Context, lease LeaseID) error {
	return k.callLease(ctx, http.MethodDelete, lease)
}

func (k *HTTPKeyValue) callLease(ctx context.Context, method string, lease LeaseID) error {
	request := httpcall.Request{Method: method, Path: "/v1/leases/" + formatUint(uint64(lease))}
	_, err := k.client.Call(ctx, request, maxSmallResponseBytes)
	if err != nil {
		return mapError(keyValueService, callWrite, err)
	}
	return nil
}

func mapWriteError(key string, err error) error {
	var status *httpcall.StatusError
	if errors.As(err, &status) && status.Status == http.StatusConflict {
		return &ConflictError{Key: key, CurrentVersion: status.Document.Version}
	}
	return mapError(keyValueService, callWrite, err)
}

func versionQuery(key string, version uint64) url.Values {
	return url.Values{"key": {key}, "version": {formatUint(version)}}
}

func parseVersionHeader(response *httpcall.Response) (uint64, error) {
	version, err := strconv.ParseUint(response.Header.Get(VersionHeader), 10, 64)
	if err != nil {
		return 0, &httpcall.FormatError{Cause: err}
	}
	return version, nil
}

func formatUint(value uint64) string {
	return strconv.FormatUint(value, 10)
}
