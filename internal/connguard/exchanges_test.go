//go:build unix

package connguard

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// requestCounter counts the requests that a server read.
type requestCounter struct{ count atomic.Int64 }

func (c *requestCounter) ServeHTTP(http.ResponseWriter, *http.Request) { c.count.Add(1) }

// postAs sends a request once.
func (g *guardedTransport) postAs(t *testing.T, url string, progress *Progress) error {
	t.Helper()
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(t.Context(), progress.Trace()), http.MethodPost, url, io.MultiReader(strings.NewReader("b")))
	assert.NilError(t, err)
	request.ContentLength = 1
	response, err := g.RoundTrip(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// Guards against a request that is written twice on one connection, where a copy of the first
// response cannot be told from the second.
func TestConnectionCarriesARequestOnce(t *testing.T) {
	var counter requestCounter
	server := httptest.NewServer(&counter)
	defer server.Close()
	transport := newGuardedTransport()
	defer transport.CloseIdleConnections()
	var exchanges Exchanges
	assert.NilError(t, transport.postAs(t, server.URL, NewProgress("", &exchanges)))
	again := NewProgress("", &exchanges)
	assert.ErrorIs(t, transport.postAs(t, server.URL, again), ErrNotIdle)
	assert.Assert(t, again.MetAgain() && again.LostIdleConn() && !again.Sent())
	assert.Equal(t, counter.count.Load(), int64(1))
	onNewConn := NewProgress("", &exchanges)
	assert.NilError(t, transport.postAs(t, server.URL, onNewConn))
	assert.Assert(t, !onNewConn.MetAgain())
	assert.Equal(t, counter.count.Load(), int64(2))
}

// Guards against new connections for requests that have nothing in common.
func TestConnectionCarriesManyRequests(t *testing.T) {
	server := httptest.NewServer(new(requestCounter))
	defer server.Close()
	transport := newGuardedTransport()
	defer transport.CloseIdleConnections()
	for i := range int64(3 * maxRecentIDs) {
		progress := NewProgress(strconv.FormatInt(i, 10), new(Exchanges))
		assert.NilError(t, transport.postAs(t, server.URL, progress))
		_, use := progress.Connection()
		assert.Equal(t, use, i+1)
	}
}

// Guards against the same for requests that share an ID, as far back as a connection knows IDs.
func TestConnectionCarriesAnIDOnceAmongRecentRequests(t *testing.T) {
	server := httptest.NewServer(new(requestCounter))
	defer server.Close()
	type row struct{ before, between int }
	for test, metAgain := range map[row]bool{
		{0, 0}: true, {0, maxRecentIDs - 1}: true, {0, maxRecentIDs}: false,
		{maxRecentIDs - 1, 0}: true, {maxRecentIDs - 1, maxRecentIDs - 1}: true, {maxRecentIDs - 1, maxRecentIDs}: false,
	} {
		transport := newGuardedTransport()
		for i := range test.before {
			assert.NilError(t, transport.postAs(t, server.URL, NewProgress("before "+strconv.Itoa(i), new(Exchanges))))
		}
		assert.NilError(t, transport.postAs(t, server.URL, NewProgress("a", new(Exchanges))))
		for i := range test.between {
			assert.NilError(t, transport.postAs(t, server.URL, NewProgress(strconv.Itoa(i), new(Exchanges))))
		}
		progress := NewProgress("a", new(Exchanges))
		err := transport.postAs(t, server.URL, progress)
		assert.Equal(t, progress.MetAgain(), metAgain, test)
		assert.Equal(t, err != nil, metAgain, test)
		transport.CloseIdleConnections()
	}
}

// Guards against a request that remembers only the last of its connections.
func TestRequestKnowsAllItsConnections(t *testing.T) {
	server := httptest.NewServer(new(requestCounter))
	defer server.Close()
	var exchanges Exchanges
	transports := []*guardedTransport{newGuardedTransport(), newGuardedTransport(), newGuardedTransport()}
	for _, transport := range transports {
		defer transport.CloseIdleConnections()
		assert.NilError(t, transport.postAs(t, server.URL, NewProgress("", &exchanges)))
	}
	for _, transport := range transports {
		again := NewProgress("", &exchanges)
		assert.ErrorIs(t, transport.postAs(t, server.URL, again), ErrNotIdle)
		assert.Assert(t, again.MetAgain())
	}
}
