package gateway

import (
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startMovingStream starts a stream whose endpoint sends some events and calls rest once goOn is
// closed, unless its request ends before. next is the other endpoint.
func startMovingStream(t *testing.T, sent int, rest, next http.HandlerFunc) *heldStream {
	t.Helper()
	h := &heldStream{goOn: make(chan struct{}), resumed: make(chan struct{}, 1), answers: make(chan string, 1)}
	handler := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		if r.Header.Get("Last") != "" {
			next(w, r)
			h.resumed <- struct{}{}
			return
		}
		_, _ = io.WriteString(w, eventStream(sent))
		_ = http.NewResponseController(w).Flush()
		select {
		case <-h.goOn:
			rest(w, r)
		case <-r.Context().Done():
		}
	}
	h.fixture = newFixture(t, handler, handler)
	h.service = (*h.gateway.services.Load())["s"]
	h.free = countFree(h.service)
	go func() {
		_, body, err := h.send(t, "/stream/", nil)
		if err != nil {
			body += err.Error()
		}
		h.answers <- body
	}()
	h.first = h.awaitMove()
	for h.move().lastEvent() != strconv.Itoa(sent) {
		time.Sleep(time.Millisecond)
	}
	return h
}

// lastEvent returns the ID of the last event that was forwarded.
func (m *attemptMove) lastEvent() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastEventID
}

// eventsFrom returns the events of a stream of four after the first n.
func eventsFrom(n int) string {
	return eventStream(4)[len(eventStream(n)):]
}

func sendEvents(events string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, events)
		_ = http.NewResponseController(w).Flush()
	}
}

// stall waits until the request is cancelled.
func stall(w http.ResponseWriter, r *http.Request) {
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done()
}

// Guards against a complete answer that is cut because its endpoint is silent, or changes its
// weights, between the last event and the end: the next endpoint has nothing to add.
func TestStreamEndsWholeAtItsEndpointWhenTheNextHasNothingToAdd(t *testing.T) {
	for _, cause := range moveCauses {
		t.Run(cause, func(t *testing.T) {
			h := startMovingStream(t, 4, sendEvents(""), sendEvents(""))
			h.causes()[cause]()
			<-h.resumed
			close(h.goOn)
			assert.Equal(t, <-h.answers, eventStream(4))
			assert.Equal(t, h.taken(), 0)
		})
	}
}

// Guards against a stream that is cut, or gets an event twice, when its endpoint goes on while the
// next one is asked.
func TestStreamGoesOnAtItsEndpointWhileTheNextOneIsSilent(t *testing.T) {
	for _, cause := range moveCauses {
		t.Run(cause, func(t *testing.T) {
			h := startMovingStream(t, 2, sendEvents(eventsFrom(2)), stall)
			h.causes()[cause]()
			close(h.goOn)
			assert.Equal(t, <-h.answers, eventStream(4))
			assert.Equal(t, h.taken(), 0)
		})
	}
}

// Guards against events of two runs that are joined: the endpoint that changes its weights sends on
// until the next one does.
func TestMovedStreamHasEachEventOnce(t *testing.T) {
	sent := make(chan struct{})
	h := startMovingStream(t, 2, func(w http.ResponseWriter, r *http.Request) {
		sendEvents(eventsFrom(2))(w, r)
		close(sent)
		<-r.Context().Done()
	}, func(w http.ResponseWriter, r *http.Request) {
		<-sent
		streamEvents(4, 0)(w, r)
	})
	h.causes()["the endpoint closes"]()
	close(h.goOn)
	assert.Equal(t, <-h.answers, eventStream(4))
	assert.Equal(t, h.taken(), 0)
}

// Guards against a stream that is cut when its endpoint crashes while the next one is asked.
func TestStreamMovesWhenItsEndpointBreaksOffMeanwhile(t *testing.T) {
	for _, cause := range moveCauses {
		t.Run(cause, func(t *testing.T) {
			broken := make(chan struct{})
			h := startMovingStream(t, 2, func(http.ResponseWriter, *http.Request) {
				close(broken)
				panic(http.ErrAbortHandler)
			}, func(w http.ResponseWriter, r *http.Request) {
				<-broken
				streamEvents(4, 0)(w, r)
			})
			h.causes()[cause]()
			close(h.goOn)
			assert.Equal(t, <-h.answers, eventStream(4))
			assert.Equal(t, h.taken(), 0)
		})
	}
}

// Guards against events that are lost when the next endpoint does not take a stream, while its
// own one has gone on.
func TestEventsThatWereHeldBackAreSentWhenTheNextEndpointFails(t *testing.T) {
	held, failed := make(chan struct{}), make(chan struct{})
	h := startMovingStream(t, 2, func(w http.ResponseWriter, r *http.Request) {
		sendEvents(eventsFrom(2))(w, r)
		close(held)
		<-failed
	}, func(w http.ResponseWriter, r *http.Request) {
		<-held
		rejectNotRun(w, r)
	})
	h.service.retryBudget = budgetOf(2)
	h.causes()["the endpoint closes"]()
	close(h.goOn)
	<-h.resumed
	close(failed)
	assert.Equal(t, <-h.answers, eventStream(4))
}

// Guards against endpoints that send without end while the next attempt begins.
func TestEventsThatAreHeldBackAreBounded(t *testing.T) {
	a := &streamAttempt{}
	for a.holdBack(event{data: make([]byte, 1<<10)}) {
	}
	assert.Equal(t, len(a.heldBack), maxHeldBackBytes>>10)
}
