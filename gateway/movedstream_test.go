package gateway

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// budgetOf returns a budget with a number of retries that no request adds to.
func budgetOf(retries float64) *retryBudget {
	return newRetryBudget(0, retries*initialEntryCount/plannedBudgetShare+0.01)
}

// moveStream sends a stream whose first endpoint closes after two events, whose second one
// does not run it, and whose third one resumes it. It returns what the caller got.
func moveStream(t *testing.T, budget *retryBudget) (body string, arrivals int64, err error) {
	t.Helper()
	var reached atomic.Int64
	started, stays := make(chan struct{}), make(chan struct{})
	handler := func(w http.ResponseWriter, r *http.Request) {
		switch reached.Add(1) {
		case 1:
			w.Header().Set("Id", r.Header.Get("Id"))
			_, _ = io.WriteString(w, eventStream(2))
			_ = http.NewResponseController(w).Flush()
			close(started)
			select {
			case <-r.Context().Done():
			case <-stays:
				_, _ = io.WriteString(w, eventStream(4)[len(eventStream(2)):])
			}
		case 2:
			rejectNotRun(w, r)
		default:
			streamEvents(4, 0)(w, r)
		}
	}
	f := newFixture(t, handler, handler, handler)
	service := (*f.gateway.services.Load())["s"]
	service.retryBudget = budget
	go func() {
		<-started
		for f.gateway.migratable.registered() == 0 {
			time.Sleep(time.Millisecond)
		}
		moved := 0
		for _, id := range []string{"i-0", "i-1", "i-2"} {
			f.gateway.migratable.setClosed(id, true)
			n, _ := f.gateway.migratable.moveIfClosed(id)
			moved += n
			f.gateway.migratable.setClosed(id, false)
		}
		if moved == 0 {
			close(stays)
		}
	}()
	_, body, err = f.send(t, "/stream/", nil)
	return body, reached.Load(), err
}

// registered returns the number of attempts.
func (r *attemptRegistry) registered() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, attempts := range r.attempts {
		count += len(attempts)
	}
	return count
}

// Guards against streams that are moved off an endpoint that changes its weights, and broken off
// because the next one closes too and no retry is left.
func TestStreamMovesOnlyWithARetryInReserve(t *testing.T) {
	body, arrivals, err := moveStream(t, budgetOf(2))
	assert.NilError(t, err)
	assert.Equal(t, body, eventStream(4))
	assert.Equal(t, arrivals, int64(3), "it moved, and the reserve was used")

	body, arrivals, err = moveStream(t, budgetOf(1))
	assert.NilError(t, err)
	assert.Equal(t, body, eventStream(4))
	assert.Equal(t, arrivals, int64(1), "it stayed")
}

func TestReserveThatWasNotNeededIsGivenBack(t *testing.T) {
	budget := budgetOf(2)
	req := &request{service: &service{retryBudget: budget}}
	move := &attemptMove{req: req}
	assert.Assert(t, move.takeRetries(errMigrated))
	req.endMove(move)
	(&stream{req: req}).giveBackSparedRetry()
	(&stream{req: req}).giveBackSparedRetry()
	assert.Equal(t, drainRetries(budget), 1)
}
