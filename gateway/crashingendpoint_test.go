package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// deadlyBody is the body of a request that crashes each endpoint that runs it.
const deadlyBody = "deadly"

// lateDeadlyBody is the body of a stream that crashes an endpoint after an event.
const lateDeadlyBody = "deadly late"

// deadlyPart is a part of a prompt that crashes each endpoint that runs a request with it.
const deadlyPart = "deadly part"

// soundResponse is the response to any other request, also valid as a stream.
const soundResponse = "id: 1\ndata: x\n\n"

// crashingEndpoints are endpoints of a fixture that crash under a deadly request: such an
// endpoint ends all its connections and refuses new ones until it is started again, at
// the same address under a new ID. Other requests are answered.
type crashingEndpoints struct {
	t       *testing.T
	fixture *fixture
	// keepIDs says that an endpoint keeps its ID when it starts again.
	keepIDs bool
	// lateParts says that an endpoint sends an event before deadlyPart crashes it.
	lateParts bool
	// beforeCrash, if set, is called before each crash.
	beforeCrash func()

	mu      sync.Mutex
	crashed []string // The addresses of the crashed endpoints.
	crashes int
}

// newCrashingEndpoints starts count endpoints.
func newCrashingEndpoints(t *testing.T, f *fixture, count int) *crashingEndpoints {
	t.Helper()
	e := &crashingEndpoints{t: t, fixture: f}
	for range count {
		f.addEndpoint(e.start("127.0.0.1:0"))
	}
	return e
}

// start starts an endpoint at an address, and returns the address with its port.
func (e *crashingEndpoints) start(address string) string {
	e.t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(e.t.Context(), "tcp", address)
	assert.NilError(e.t, err)
	server := &http.Server{}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		hasDeadlyPart := strings.Contains(r.Header.Get("Parts"), deadlyPart)
		switch {
		case string(body) == lateDeadlyBody || (hasDeadlyPart && e.lateParts):
			writeNextEvent(w, r)
		case string(body) == deadlyBody || hasDeadlyPart:
		default:
			respondWith(soundResponse)(w, r)
			return
		}
		if e.beforeCrash != nil {
			e.beforeCrash()
		}
		e.mu.Lock()
		e.crashes++
		e.crashed = append(e.crashed, listener.Addr().String())
		e.mu.Unlock()
		_ = server.Close()
	})
	go func() { _ = server.Serve(listener) }()
	e.t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// silentEndpoint returns an endpoint that never answers its only request. It closes reached
// when the request has arrived, and left when the gateway has withdrawn it.
func silentEndpoint() (handler http.HandlerFunc, reached, left chan struct{}) {
	reached, left = make(chan struct{}), make(chan struct{})
	handler = func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // The server notices that a caller leaves only after the body.
		close(reached)
		<-r.Context().Done()
		close(left)
	}
	return handler, reached, left
}

// writeNextEvent sends the event that follows the last one of the request.
func writeNextEvent(w http.ResponseWriter, r *http.Request) {
	last, _ := strconv.Atoi(r.Header.Get("Last"))
	w.Header().Set("Id", r.Header.Get("Id"))
	_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", last+1)
	_ = http.NewResponseController(w).Flush()
}

// restartCrashed starts the crashed endpoints again, under new IDs unless keepIDs is set.
func (e *crashingEndpoints) restartCrashed() {
	e.t.Helper()
	e.mu.Lock()
	crashed := e.crashed
	e.crashed = nil
	e.mu.Unlock()
	for _, address := range crashed {
		e.start(address)
		if e.keepIDs {
			e.listAgain(address)
		} else {
			e.fixture.addEndpoint(address)
		}
	}
}

// listAgain lists the endpoint at an address as started again under its ID.
func (e *crashingEndpoints) listAgain(address string) {
	for _, endpoint := range e.fixture.directory.View().LatestEndpoints() {
		if endpoint.Address == address {
			started := *endpoint
			started.StartedUnixMS++
			e.fixture.directory.PutEndpoint(&started)
		}
	}
}

func (e *crashingEndpoints) crashCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}
