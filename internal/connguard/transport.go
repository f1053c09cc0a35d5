package connguard

import (
	"net/http"
	"slices"
)

// Transport sends requests through another transport and takes only sound responses for answers.
// Errors for others wrap *BrokenResponseError; reads of a body return it too. Whatever reads
// responses of a server uses a Transport.
type Transport struct {
	base http.RoundTripper
}

// NewTransport returns a transport that checks the responses of base. Whether a response that ends
// with its connection is complete it can tell only on connections of Wrap. A nil base is
// http.DefaultTransport.
func NewTransport(base http.RoundTripper) *Transport {
	if base == nil {
		base = http.DefaultTransport
	}
	return &Transport{base: base}
}

// Base returns the transport whose responses are checked.
func (t *Transport) Base() http.RoundTripper {
	return t.base
}

// RoundTrip implements http.RoundTripper. The progress of the request is that of its context, see
// WithProgress, which serves one call.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	progress, ok := request.Context().Value(progressKey{}).(*Progress)
	if !ok {
		progress = new(Progress)
		request = request.WithContext(WithProgress(request.Context(), progress))
	}
	progress.bodyBytes = max(request.ContentLength, 0)
	progress.checked = true
	progress.contextErr = request.Context().Err
	response, err := t.base.RoundTrip(request)
	if err != nil {
		progress.Retire() // Else a request that waits for the check would wait for ever.
		if broken := progress.brokenInterim.Load(); broken != nil {
			return nil, *broken
		}
		return nil, brokenLine(err)
	}
	if err := checkHead(response.StatusCode, response.Header); err != nil {
		progress.Retire()
		_ = response.Body.Close()
		return nil, err
	}
	if response.Body == http.NoBody {
		progress.EndExchange()
	} else {
		response.Body = &exchangeBody{ReadCloser: response.Body, progress: progress}
	}
	if response.Body != http.NoBody && slices.Contains(response.TransferEncoding, "chunked") {
		response.Body = &trailerBody{ReadCloser: response.Body, response: response, progress: progress}
		return response, nil
	}
	progress.accept()
	return response, nil
}

// CloseIdleConnections closes the connections of the base that carry no request.
func (t *Transport) CloseIdleConnections() {
	if closer, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}
