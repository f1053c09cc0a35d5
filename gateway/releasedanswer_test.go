package gateway

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/internal/heldbytes"
	"github.com/snipestep/snipestep/routing/admission"
)

// Guards against an answer that stays counted after its attempt has ended: once it is evicted,
// nobody releases it before its request ends, and all other answers wait for room until then.
func TestStreamsReleaseTheAnswerOfAnEndedAttempt(t *testing.T) {
	const firstEvent = "id: 1\ndata: x\n\n"
	large := strings.Repeat("x", 200<<10)
	for name, test := range map[string]struct {
		status      int
		lastEventID string
		// answers are sent in this order, each by another endpoint.
		answers []string
	}{
		"event out of order":         {http.StatusOK, "1", []string{"id: 7\ndata: " + large + "\n\n"}},
		"no event of the rest":       {http.StatusOK, "", []string{firstEvent + "data: cut", ": " + large + "\n\n"}},
		"failure of another attempt": {http.StatusInternalServerError, "1", []string{large}},
	} {
		t.Run(name, func(t *testing.T) {
			held := make(chan struct{})
			release := make(chan struct{})
			turn := make(chan int, 1)
			turn <- 0
			endpoint := func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Id", r.Header.Get("Id"))
				if r.Header.Get("Id") == soundID {
					_, _ = io.WriteString(w, large)
					return
				}
				attempt := <-turn
				turn <- attempt + 1
				if attempt < len(test.answers) {
					w.WriteHeader(test.status)
					_, _ = io.WriteString(w, test.answers[attempt])
					return
				}
				close(held)
				<-release
				_, _ = io.WriteString(w, "id: 2\ndata: x\n\n")
			}
			f := newFixture(t, endpoint, endpoint, endpoint)
			f.directory.View().Document.Match("h.example", "/stream/").MaxRuns = len(test.answers) + 1
			f.gateway.answers = heldbytes.NewBudget(350 << 10) // Two of the large answers do not fit.
			ended := make(chan error, 1)
			go func() {
				_, _, err := f.send(t, "/stream/", func(r *http.Request) { r.Header.Set("Last", test.lastEventID) })
				ended <- err
			}()
			<-held
			assert.Check(t, f.held() == 0, "an ended attempt holds %d bytes", f.held())
			if f.held() == 0 {
				response, body, err := f.send(t, "/once/", func(r *http.Request) { r.Header.Set("Id", soundID) })
				assert.Check(t, err == nil && response.StatusCode == http.StatusOK && body == large)
			}
			close(release)
			assert.NilError(t, <-ended)
			assert.Equal(t, f.held(), 0)
		})
	}
}

// Guards against a failure that was kept for the caller and replaced by that of a later attempt, but
// stays counted.
func TestReplacedFailureIsReleased(t *testing.T) {
	large := strings.Repeat("x", 200<<10)
	third, release := make(chan struct{}), make(chan struct{})
	attempts := make(chan int, 1)
	attempts <- 0
	endpoint := func(w http.ResponseWriter, r *http.Request) {
		attempt := <-attempts
		attempts <- attempt + 1
		if attempt == 2 {
			close(third)
			<-release
		}
		w.Header().Set("Id", r.Header.Get("Id"))
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, large)
	}
	f := newFixture(t, endpoint, endpoint, endpoint)
	f.directory.View().Document.Match("h.example", "/again/").MaxRuns = 3
	ended := make(chan string, 1)
	go func() {
		_, body, _ := f.send(t, "/again/", nil)
		ended <- body
	}()
	<-third
	assert.Check(t, len(f.gateway.answers.Counted()) == 1, "held: %v", f.gateway.answers.Counted())
	close(release)
	assert.Assert(t, <-ended == large)
}

// Guards against an endpoint that is set aside because its answer had to make room, although it may
// be sound.
func TestAnswerThatMakesRoomSaysNothingOfItsEndpoint(t *testing.T) {
	assert.Equal(t, attemptOutcome(t.Context(), heldbytes.ErrNoRoom), admission.Cancelled)
}
