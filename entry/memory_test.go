package entry

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/endpoint"
	"github.com/snipestep/snipestep/internal/heldbytes"
)

const (
	// stalledCallers is the number of callers that read no more than the status line of a large
	// answer.
	stalledCallers = 16
	// maxHeapGrowth bounds the live heap with all answers held: 32 MiB for answers, half of that
	// again for their uncounted parts, sessions and connections.
	maxHeapGrowth = 48 << 20
	// largeRequest asks for an answer of endpoint.MaxPlainResponseBytes.
	largeRequest = `{"large":true}`
)

// mixedAnswerService answers largeRequest with a large body, which all calls share.
type mixedAnswerService struct {
	endpoint.PlainService
	large []byte
}

// Call implements endpoint.PlainService.
func (s *mixedAnswerService) Call(_ context.Context, request endpoint.PlainRequest) (endpoint.PlainResponse, error) {
	response := endpoint.PlainResponse{Attempt: request.Attempt, Status: http.StatusOK, Body: []byte("ok")}
	if string(request.Body) == largeRequest {
		response.Body = s.large
	}
	return response, nil
}

// stalledCall sends largeRequest and reads the status line of the answer only.
func (f *testFleet) stalledCall() (net.Conn, string, error) {
	// The kernel takes little of the answer for a small receive buffer.
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var setErr error
		err := raw.Control(func(fd uintptr) {
			setErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
		})
		if err != nil {
			return err
		}
		return setErr
	}}
	conn, err := dialer.DialContext(f.ctx, "tcp", f.entries[0].cfg.HTTPAddr)
	if err != nil {
		return nil, "", err
	}
	_, err = fmt.Fprintf(conn, "POST /v1/services/counter/balance HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		callerToken, len(largeRequest), largeRequest)
	if err != nil {
		return conn, "", err
	}
	status, err := bufio.NewReaderSize(conn, 16).ReadString('\n')
	return conn, status, err
}

// liveHeap returns the bytes that are reachable.
func liveHeap() int {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}

// Guards against an entry that runs out of memory since it holds large answers for callers that do
// not read them, and against ordinary calls that fail meanwhile. It runs alone, as it measures the
// heap.
func TestLargeAnswersStayWithinTheMemory(t *testing.T) {
	service := &mixedAnswerService{large: bytes.Repeat([]byte("x"), endpoint.MaxPlainResponseBytes)}
	f := newSerialTestFleet(t, 0, 8, 1, func(f *testFleet) {
		f.wrapPlain = func(plain endpoint.PlainService) endpoint.PlainService {
			return &mixedAnswerService{plain, service.large}
		}
	})
	f.awaitAgents()
	ordinary := func() {
		status, _, answer := f.post(0, "/v1/services/counter/balance", `{}`)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, answer, "ok")
	}
	f.waitUntil("endpoints of the service", func() bool {
		status, _, _ := f.post(0, "/v1/services/counter/balance", `{}`)
		return status == http.StatusOK
	})
	before := liveHeap()
	var mu sync.Mutex // Guards conns and statuses.
	var conns []net.Conn
	statuses := make(map[string]int)
	var calling sync.WaitGroup
	for range stalledCallers {
		calling.Go(func() {
			conn, status, err := f.stalledCall()
			mu.Lock()
			defer mu.Unlock()
			conns = append(conns, conn)
			statuses[status]++
			assert.Check(t, err)
		})
	}
	calling.Wait()
	grown := liveHeap() - before
	assert.Check(t, grown < maxHeapGrowth, "%d MiB with answers %v", grown>>20, statuses)
	assert.Check(t, statuses["HTTP/1.1 200 OK\r\n"] > 0, "%v", statuses)
	ordinary()
	// More stalled callers fill the memory, unless the machine is so slow that the first ones make room.
	for i, whole := 0, true; i < stalledCallers && whole; i++ {
		conn, status, err := f.stalledCall()
		assert.NilError(t, err)
		conns = append(conns, conn)
		whole = status == "HTTP/1.1 200 OK\r\n"
	}
	// Callers that have stalled do not keep others from large answers.
	status, _, answer := f.post(0, "/v1/services/counter/balance", largeRequest)
	for tries := 0; status != http.StatusOK && tries < 60; tries++ {
		time.Sleep(heldbytes.StalledAfter / 4)
		status, _, answer = f.post(0, "/v1/services/counter/balance", largeRequest)
	}
	assert.Check(t, status == http.StatusOK && len(answer) == len(service.large), "%d, %d bytes", status, len(answer))
	for _, conn := range conns {
		_ = conn.Close()
	}
	f.waitUntil("the answers are released", func() bool { return f.entries[0].calls.answers.Total() == 0 })
}
