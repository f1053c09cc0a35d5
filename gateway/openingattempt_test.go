package gateway

import (
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// movingStream is a stream of four events that moves while its endpoint waits.
type movingStream struct {
	// sent is the number of events before the endpoint waits, and rest what it does then, before it ends
	// the response unless staysOpen is set.
	sent      int
	rest      http.HandlerFunc
	staysOpen bool
	// next is the endpoint to which the stream moves. It answers after rest if isLate is set, else rest
	// comes after its answer if answersFirst is set.
	next                 http.HandlerFunc
	isLate, answersFirst bool
	// refuses says that next does not go on.
	refuses bool
	// closesOnly says that the case does not arise when the endpoint is silent.
	closesOnly bool
}

// play moves the stream for a cause, and returns what the caller got.
func (m movingStream) play(t *testing.T, cause string) string {
	t.Helper()
	h := &heldStream{goOn: make(chan struct{}), resumed: make(chan struct{}, 1), answers: make(chan string, 1)}
	ended := make(chan struct{})
	handler := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		if r.Header.Get("Last") != "" {
			if m.isLate {
				<-ended
			}
			m.next(w, r)
			h.resumed <- struct{}{}
			return
		}
		sendEvents(eventStream(m.sent))(w, r)
		select {
		case <-h.goOn:
			func() {
				defer close(ended)
				m.rest(w, r)
			}()
			if m.staysOpen {
				<-r.Context().Done()
			}
		case <-r.Context().Done():
		}
	}
	h.fixture = newFixture(t, handler, handler)
	h.service = (*h.gateway.services.Load())["s"]
	h.free = countFree(h.service)
	h.service.retryBudget = budgetOf(2)
	go func() {
		_, body, err := h.send(t, "/stream/", nil)
		if err != nil {
			body += err.Error()
		}
		h.answers <- body
	}()
	h.first = h.awaitMove()
	for h.move().lastEvent() != strconv.Itoa(m.sent) {
		time.Sleep(time.Millisecond)
	}
	h.causes()[cause]()
	if m.answersFirst {
		<-h.resumed
	}
	close(h.goOn)
	body := <-h.answers
	if !m.refuses {
		assert.Equal(t, h.taken(), 0) // An endpoint that refuses is left out for a while.
	}
	return body
}

// lastEvent returns the ID of the last event that was forwarded.
func (m *attemptMove) lastEvent() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastEventID
}

// sendEvents returns a handler that sends events.
func sendEvents(events string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, events)
		_ = http.NewResponseController(w).Flush()
	}
}

// Guards against streams that are cut, lose events or get them twice when they move: their endpoint may be
// sound, and silent before the end only, and the next one may have nothing to add or fail.
func TestMovedStreamIsWholeWhicheverEndpointGoesOn(t *testing.T) {
	nothing, others := sendEvents(""), sendEvents(eventStream(4)[len(eventStream(2)):])
	breakOff := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	stall := func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}
	for name, m := range map[string]movingStream{
		"the next one has nothing to add":  {sent: 4, rest: nothing, next: nothing, answersFirst: true},
		"the next one is silent":           {sent: 2, rest: others, next: stall},
		"the first one breaks off":         {sent: 2, rest: breakOff, next: streamEvents(4, 0), isLate: true},
		"both send the events":             {sent: 2, rest: others, staysOpen: true, next: streamEvents(4, 0), isLate: true, closesOnly: true},
		"the next one does not run it":     {sent: 2, rest: others, next: rejectNotRun, refuses: true},
		"the next one breaks off, is late": {sent: 2, rest: others, next: breakOff, isLate: true, refuses: true, closesOnly: true},
	} {
		for _, cause := range moveCauses {
			if m.closesOnly && cause != "the endpoint closes" {
				continue
			}
			t.Run(name+", "+cause, func(t *testing.T) {
				assert.Equal(t, m.play(t, cause), eventStream(4))
			})
		}
	}
}

// Guards against endpoints that send without end while the next attempt begins.
func TestEventsThatAreHeldBackAreBounded(t *testing.T) {
	a := &streamAttempt{}
	for a.holdBack(event{data: make([]byte, 1<<10)}) {
	}
	assert.Equal(t, len(a.heldBack), maxHeldBackBytes>>10)
}
