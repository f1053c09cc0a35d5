package endpoint

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/internal/heldbytes"
	"github.com/snipestep/snipestep/internal/httpcall"
)

const (
	maxAckBytes    = 64 << 10
	maxStatusBytes = 1 << 20
	maxExportBytes = 16 << 20
)

// HTTPEngine is the HTTP client of a model engine. It is safe for concurrent
// use.
type HTTPEngine struct {
	client *httpcall.Client
	// orders counts the orders, which have no other identifier.
	orders atomic.Uint64
}

var _ Engine = (*HTTPEngine)(nil)

// NewHTTPEngine returns a client of the engine.
func NewHTTPEngine(config HTTPConfig) *HTTPEngine {
	return &HTTPEngine{client: httpcall.New(config)}
}

// Generate implements Engine.
func (e *HTTPEngine) Generate(ctx context.Context, request GenerateRequest) (TokenStream, error) {
	body, err := json.Marshal(completionRequest(request))
	if err != nil {
		return nil, &NotStartedError{Attempt: request.Attempt, Cause: err}
	}
	httpRequest := httpcall.Request{Method: http.MethodPost, Path: "/v1/completions", Header: attemptHeader(request.Attempt), Body: body, NoReplay: true, Belongs: noticing(repeatsUnlessStarted(request.Attempt), request.OnNotice), Held: request.Held}
	return openStream(ctx, e.client, request.Attempt, httpRequest, streamLimit(request.MaxTokens))
}

// StageChunk implements Engine.
func (e *HTTPEngine) StageChunk(ctx context.Context, manifest core.Digest, index int, data []byte) error {
	path := "/v1/staged/" + manifest.String() + "/" + strconv.Itoa(index)
	return e.callWithoutResult(ctx, "", httpcall.Request{Method: http.MethodPut, Path: path, Body: data})
}

// Order implements Engine.
func (e *HTTPEngine) Order(ctx context.Context, order Order) (OrderOutcome, error) {
	var outcome OrderOutcome
	body, err := json.Marshal(order)
	if err != nil {
		return outcome, &NotStartedError{Cause: err}
	}
	id := "order-" + strconv.FormatUint(e.orders.Add(1), 10)
	request := httpcall.Request{Method: http.MethodPost, Path: "/v1/order", Header: attemptHeader(id), Body: body, NoReplay: true, Belongs: repeats(id)}
	response, err := e.client.Call(ctx, request, maxStatusBytes)
	if err != nil {
		return outcome, orderError(id, order, err)
	}
	if err := response.Decode(&outcome); err != nil {
		return outcome, &BrokenError{Cause: err}
	}
	return outcome, nil
}

// Status implements Engine.
func (e *HTTPEngine) Status(ctx context.Context) (EngineStatus, error) {
	var status EngineStatus
	response, err := e.client.Call(ctx, httpcall.Request{Method: http.MethodGet, Path: "/v1/status"}, maxStatusBytes)
	if err != nil {
		return status, attemptError("", err)
	}
	if err := response.Decode(&status); err != nil {
		return status, &BrokenError{Cause: err}
	}
	return status, nil
}

// ExportCache implements Engine.
func (e *HTTPEngine) ExportCache(ctx context.Context, attempt string, held *heldbytes.Held) (string, error) {
	request := httpcall.Request{Method: http.MethodPost, Path: attemptPath(attempt) + "/export", Held: held}
	response, err := e.client.Call(ctx, request, maxExportBytes)
	if err != nil {
		return "", attemptError(attempt, err)
	}
	// The handle is a copy.
	if err := held.AddBytes(len(response.Body)); err != nil {
		return "", &BrokenError{Attempt: attempt, Cause: err}
	}
	var document ExportDocument
	if err := response.Decode(&document); err != nil {
		return "", &BrokenError{Attempt: attempt, Cause: err}
	}
	return document.Handle, held.SetBytes(len(document.Handle))
}

// Cancel implements Engine.
func (e *HTTPEngine) Cancel(ctx context.Context, attempt string) error {
	return e.callWithoutResult(ctx, attempt, httpcall.Request{Method: http.MethodDelete, Path: attemptPath(attempt)})
}

func (e *HTTPEngine) callWithoutResult(ctx context.Context, attempt string, request httpcall.Request) error {
	_, err := e.client.Call(ctx, request, maxAckBytes)
	if err != nil {
		return attemptError(attempt, err)
	}
	return nil
}

func orderError(id string, order Order, err error) error {
	var statusErr *httpcall.StatusError
	if errors.As(err, &statusErr) && statusErr.Document.Code == CodeFenced {
		return &FencedError{Fence: order.Fence, Highest: core.Fence(statusErr.Document.HighestFence)}
	}
	return attemptError(id, err)
}

func completionRequest(request GenerateRequest) CompletionRequest {
	return CompletionRequest{
		Model:        request.Model.Model,
		Prompt:       request.Prompt,
		MaxTokens:    request.MaxTokens,
		Stream:       true,
		Priority:     request.Priority,
		Version:      request.Model.Version,
		Manifest:     request.Model.Manifest,
		PrefixTokens: request.PrefixTokens,
		CacheHandle:  request.CacheHandle,
	}
}

func attemptPath(attempt string) string {
	return "/v1/requests/" + url.PathEscape(attempt)
}

func jsonHeader() http.Header {
	return http.Header{"Content-Type": {"application/json"}}
}

func attemptHeader(attempt string) http.Header {
	header := jsonHeader()
	header.Set(AttemptHeader, attempt)
	return header
}
