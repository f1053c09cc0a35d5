package gateway

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/internal/versiontest"
	"github.com/snipestep/snipestep/routing/admission"
)

// heldStream is a stream of four events whose first endpoint waits after the second one.
type heldStream struct {
	*fixture
	service *service
	// first is the ID of the endpoint that has begun the stream.
	first string
	// free is the number of free slots before the stream.
	free int
	// others are the slots of the other endpoint, all taken.
	others []*admission.Grant
	// goOn lets the first endpoint go on, resumed gets a value when the other one resumes the
	// stream, and answers what the caller got.
	goOn, resumed chan struct{}
	answers       chan string
}

// startHeldStream starts a stream at one of two endpoints, and takes all slots at the other.
func startHeldStream(t *testing.T) *heldStream {
	t.Helper()
	h := &heldStream{goOn: make(chan struct{}), resumed: make(chan struct{}, 1), answers: make(chan string, 1)}
	started := make(chan struct{})
	handler := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last") != "" {
			h.resumed <- struct{}{}
			streamEvents(4, 0)(w, r)
			return
		}
		w.Header().Set("Id", r.Header.Get("Id"))
		_, _ = io.WriteString(w, eventStream(2))
		_ = http.NewResponseController(w).Flush()
		close(started)
		select {
		case <-h.goOn:
			_, _ = io.WriteString(w, eventStream(4)[len(eventStream(2)):])
		case <-r.Context().Done():
		}
	}
	h.fixture = newFixture(t, handler, handler)
	h.service = (*h.gateway.services.Load())["s"]
	h.free = countFree(h.service)
	go func() {
		_, body, err := h.send(t, "/stream/", nil)
		if err != nil {
			body = err.Error()
		}
		h.answers <- body
	}()
	<-started
	h.first = h.awaitMove()
	for {
		grant := h.service.gate.TryAcquire(admission.Request{ExcludedEndpoints: []string{h.first}, Resumed: true})
		if grant == nil {
			return h
		}
		h.others = append(h.others, grant)
	}
}

// awaitMove waits until the stream may move, and returns its endpoint.
func (h *heldStream) awaitMove() string {
	for {
		h.gateway.migratable.mu.Lock()
		for id, attempts := range h.gateway.migratable.attempts {
			for _, attempt := range attempts {
				if attempt.move.begun.Load() {
					h.gateway.migratable.mu.Unlock()
					return id
				}
			}
		}
		h.gateway.migratable.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
}

// causes are the reasons to move a stream.
func (h *heldStream) causes() map[string]func() {
	return map[string]func(){
		"the endpoint closes": func() {
			h.gateway.migratable.setClosed(h.first, true)
			h.gateway.migratable.moveIfClosed(h.first)
		},
		"the endpoint is silent": func() { h.move().start(ErrEventTimeout) },
	}
}

func (h *heldStream) move() *attemptMove {
	h.gateway.migratable.mu.Lock()
	defer h.gateway.migratable.mu.Unlock()
	for _, attempt := range h.gateway.migratable.attempts[h.first] {
		return attempt.move
	}
	return nil
}

var moveCauses = []string{"the endpoint closes", "the endpoint is silent"}

// Guards against streams that are cut since they were taken off a sound endpoint, which closes for
// new weights or is silent for a second, when no other has a slot.
func TestStreamStaysAtItsEndpointWhileNoOtherHasASlot(t *testing.T) {
	for _, cause := range moveCauses {
		t.Run(cause, func(t *testing.T) {
			h := startHeldStream(t)
			h.causes()[cause]()
			close(h.goOn)
			assert.Equal(t, <-h.answers, eventStream(4))
			assert.Equal(t, len(h.resumed), 0)
			for _, grant := range h.others {
				grant.Done(admission.Served)
			}
			assert.Equal(t, h.taken(), 0, "the search ended with the stream")
		})
	}
}

// A stream moves as soon as another endpoint has a slot, which it gets before new requests do.
func TestStreamMovesOnceASlotIsFree(t *testing.T) {
	for _, cause := range moveCauses {
		t.Run(cause, func(t *testing.T) {
			h := startHeldStream(t)
			h.causes()[cause]()
			for h.waiting() == 0 {
				time.Sleep(time.Millisecond)
			}
			h.others[0].Done(admission.Served)
			assert.Equal(t, <-h.answers, eventStream(4))
			assert.Equal(t, len(h.resumed), 1)
			for _, grant := range h.others[1:] {
				grant.Done(admission.Served)
			}
			assert.Equal(t, h.taken(), 0, "each slot was freed once")
		})
	}
}

// Guards against a stream that leaves an endpoint which sends events again, or opens again, while
// it waits for a slot elsewhere.
func TestStreamStaysAtAnEndpointThatRecovers(t *testing.T) {
	for cause, recovers := range map[string]func(*heldStream){
		"the endpoint closes":    func(h *heldStream) { h.gateway.migratable.setClosed(h.first, false) },
		"the endpoint is silent": func(h *heldStream) { h.move().stop(ErrEventTimeout) },
	} {
		t.Run(cause, func(t *testing.T) {
			h := startHeldStream(t)
			h.causes()[cause]()
			recovers(h)
			for h.waiting() > 0 {
				time.Sleep(time.Millisecond)
			}
			for _, grant := range h.others {
				grant.Done(admission.Served)
			}
			close(h.goOn)
			assert.Equal(t, <-h.answers, eventStream(4))
			assert.Equal(t, len(h.resumed), 0)
			assert.Equal(t, h.taken(), 0)
		})
	}
}

// Guards against a slot that is lost when the stream ends by itself after it was taken.
func TestSlotThatAnEndedStreamDoesNotNeedIsFreed(t *testing.T) {
	f := newFixture(t, respondWith("response"))
	service := (*f.gateway.services.Load())["s"]
	free := countFree(service)
	req := &request{service: service, route: &directory.Route{Kind: directory.Streaming, Resumable: true, MaxRuns: 2}}
	move := newMove(t.Context(), func(error) {}, f.gateway, req, &admission.Grant{EndpointID: "other"}, false)
	assert.Assert(t, move.start(errMigrated))
	req.endMove(move)
	assert.Equal(t, countFree(service), free-1)
	req.releasePlaced()
	assert.Equal(t, countFree(service), free)
	assert.Assert(t, !move.start(errMigrated), "the attempt is over")
}

func (h *heldStream) waiting() (waiting int) {
	h.service.gate.Inspect(func(p *admission.Pool) { waiting = p.Waiting() })
	return waiting
}

// taken waits for the end of the stream, and returns the number of slots that are taken.
func (h *heldStream) taken() int {
	for h.gateway.migratable.registered() > 0 {
		time.Sleep(time.Millisecond)
	}
	return h.free - countFree(h.service)
}

// countFree returns the number of free slots.
func countFree(s *service) int {
	var grants []*admission.Grant
	for {
		grant := s.gate.TryAcquire(admission.Request{Resumed: true})
		if grant == nil {
			break
		}
		grants = append(grants, grant)
	}
	for _, grant := range grants {
		grant.Done(admission.Cancelled)
	}
	return len(grants)
}

// Guards against streams that move from one endpoint that changes its weights to the next one that
// is about to, and are cut there: late in the bound of a version all endpoints change at once.
func TestStreamMovesToNoEndpointThatIsAboutToChangeItsWeights(t *testing.T) {
	const bound = 10 * time.Second
	for age, want := range map[time.Duration]uint64{
		bound * 7 / 10: 1, // The changes are spread, and announced.
		bound * 9 / 10: 2,
	} {
		f := newVersionFixture(t, bound)
		service := (*f.gateway.services.Load())["lm"]
		f.directory.SetDeclaration("m", versiontest.Declared(2, f.gateway.deps.Now().Add(-age)))
		req := &request{service: service, route: &directory.Route{Kind: directory.Streaming, Resumable: true, MaxRuns: 2}}
		move := newMove(t.Context(), func(error) {}, f.gateway, req, &admission.Grant{EndpointID: "closing"}, true)
		assert.Equal(t, move.request(errMigrated).MinVersion, want)
		assert.Equal(t, move.request(ErrEventTimeout).MinVersion, uint64(0), "a silent endpoint may be left for any other")
	}
}
