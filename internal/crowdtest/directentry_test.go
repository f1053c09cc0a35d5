//go:build crowd && linux

package crowdtest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const attemptIDHeader = "Snipestep-Attempt-Id"

// directDocument is the operator's document of the direct path, with the limits of known
// deployments but long time limits, so that memory has to be bounded without them.
const directDocument = `{"version": 1,
	"routes": [{"name": "r", "host": "h.example", "prefix": "/", "type": "idempotent", "service": "s", "timeout_ms": 60000, "max_attempts": 1}],
	"services": [{"name": "s", "max_conns": 64}],
	"limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 60000, "idle_timeout_ms": 60000}}`

// startDirect starts an entry of the direct path with stand-ins of the store and of an endpoint.
func startDirect(t *testing.T, maxDescriptors int) *target {
	t.Helper()
	held := make(chan struct{})
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(attemptIDHeader, r.Header.Get(attemptIDHeader))
		switch r.URL.Path {
		case "/held":
			<-held
		case "/large":
			_, _ = w.Write(bytes.Repeat([]byte("x"), largeAnswer))
		default:
			_, _ = io.WriteString(w, "served")
		}
	}))
	t.Cleanup(endpoint.Close)
	t.Cleanup(func() { close(held) })
	record := fmt.Sprintf(`{"service": "s", "address": %q, "zone": "z", "slots": 64, "state": "ready", "seq": 1}`, endpoint.Listener.Addr())
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Store-Era", "1")
		if r.URL.Path == "/kv-watch" {
			wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
			select {
			case <-time.After(time.Duration(wait) * time.Millisecond):
			case <-r.Context().Done():
			}
			_ = json.NewEncoder(w).Encode(map[string]any{"events": []any{}, "at": 100})
			return
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"at": 100, "has_more": false, "entries": []map[string]any{
			{"key": "op/config", "data": []byte(directDocument), "revision": 1},
			{"key": "servers/e1", "data": []byte(record), "revision": 2},
		}})
	}))
	t.Cleanup(store.Close)
	address := freeAddress(t)
	_, port, err := net.SplitHostPort(freeAddress(t))
	assert.NilError(t, err)
	file := filepath.Join(t.TempDir(), "entry.ini")
	text := fmt.Sprintf(`[instance]
id = entry-1
ip = 127.0.0.1
first_port = %s
link_mbps = 1000
regions = z:r
region = r
failure_domain = z

[fleet]
key = 736e697065737465702d6c6f63616c2d6b6579

[callers]
address = %s
ready_address = %s

[store]
address = %s
`, port, address, freeAddress(t), store.Listener.Addr())
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	entry := &target{
		process: start(t, maxDescriptors, "snipestep-direct", "--settings", file, "entry"),
		address: address, host: "h.example", path: "/served",
		header: attemptIDHeader + ": 1\r\n",
	}
	entry.awaitReady(t)
	return entry
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}
