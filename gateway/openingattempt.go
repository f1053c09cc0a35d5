package gateway

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/routing/admission"
)

// errOvertaken cancels an attempt that has not begun when the one before it goes on.
var errOvertaken = eris.New("endpoint before went on with the stream")

// openFunc begins an attempt at the endpoint of a grant, to go on after the event with an ID. It
// returns once the first event has arrived, else whether another endpoint may be asked. While it
// runs, the request belongs to it.
type openFunc func(ctx context.Context, grant *admission.Grant, lastEventID string) (next *streamAttempt, mayContinue bool)

// openingAttempt is an attempt that begins while the one before it goes on. The mutex of the move
// guards its fields.
type openingAttempt struct {
	// cause is why the stream moves.
	cause error
	// cancel ends the attempt.
	cancel context.CancelCauseFunc
	// done is closed once next is set or the attempt has failed.
	done chan struct{}
	// next is the attempt once its first event has arrived.
	next *streamAttempt
	// abandoned says that the attempt is no longer wanted.
	abandoned bool
}

// eventUse is what to do with an event of an attempt that may be moving.
type eventUse int

const (
	// forwardEvent says that the event belongs to the response.
	forwardEvent eventUse = iota
	// holdEvent says that the next attempt was asked to send the event too. It belongs to the
	// response if that attempt fails.
	holdEvent
	// dropEvent says that the next attempt has begun.
	dropEvent
)

// allowOpening lets the next attempt begin with opener while this one goes on, from now on: the caller
// has an event of it.
func (m *attemptMove) allowOpening(opener openFunc) {
	m.begun.Store(true)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.opener = opener
}

// receive says what to do with an event of the endpoint. Each event ends a move that the endpoint's
// silence has caused.
func (m *attemptMove) receive(eventID string) eventUse {
	m.mu.Lock()
	defer m.mu.Unlock()
	if errors.Is(m.cause, ErrEventTimeout) {
		m.endSearch()
	}
	switch o := m.opening; {
	case o == nil:
	case o.next != nil:
		return dropEvent
	case !errors.Is(o.cause, ErrEventTimeout):
		return holdEvent
	default:
		m.abandonOpening()
	}
	if eventID != "" {
		m.lastEventID = eventID
	}
	return forwardEvent
}

// open begins the next attempt with a slot. It is called with mu held.
func (m *attemptMove) open(grant *admission.Grant, cause error) bool {
	// The attempt may have ended: the next one does not end with it.
	ctx, cancel := context.WithCancelCause(m.stream)
	o := &openingAttempt{cause: cause, cancel: cancel, done: make(chan struct{})}
	m.opening = o
	lastEventID := m.lastEventID
	go func() {
		defer close(o.done)
		m.req.sparedRetry = m.req.sparedRetry || m.takeReserve()
		m.req.besideEndpointID = m.endpointID
		m.gateway.metrics.recordRetry("moved")
		next, mayContinue := m.opener(ctx, grant, lastEventID)
		m.req.besideEndpointID = ""
		m.opened(o, next, mayContinue)
	}()
	return true
}

// takeReserve returns whether a spare retry was reserved, which the request then has.
func (m *attemptMove) takeReserve() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	reserved := m.reserved
	m.reserved = false
	return reserved
}

// opened takes the result of an opening attempt: with next the stream has moved, else it stays until
// another endpoint has a slot, if one may be asked. The retry for that was taken.
func (m *attemptMove) opened(o *openingAttempt, next *streamAttempt, mayContinue bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if next != nil {
		o.next = next
		if !o.abandoned {
			m.cancel(o.cause)
		}
		return
	}
	m.exhausted = !m.req.mayRunAgain()
	if o.abandoned {
		return
	}
	m.opening = nil
	if mayContinue && !m.ended {
		m.template.ExcludedEndpoints = append([]string{m.endpointID}, m.req.excludedEndpoints()...)
		m.startSearch(o.cause, m.open)
	}
}

// abandonOpening ends the next attempt, as this one goes on, and waits for its end. It is called
// with mu held, which it releases while it waits.
func (m *attemptMove) abandonOpening() {
	o := m.opening
	if o == nil {
		return
	}
	o.abandoned = true
	o.cancel(errOvertaken)
	m.mu.Unlock()
	<-o.done
	if o.next != nil {
		_, _ = o.next.fail(true, errOvertaken)
	}
	m.mu.Lock()
	m.opening = nil
}

// stay ends the next attempt, so that the event with an ID and those that were held back belong to the
// response.
func (m *attemptMove) stay(eventID string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.abandonOpening()
	if eventID != "" {
		m.lastEventID = eventID
	}
}

// dismissNext is called when no next attempt is wanted, also if one has begun.
func (m *attemptMove) dismissNext() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = true
	m.endSearch()
	m.abandonOpening()
}

// takeNext is called when the attempt has failed. It waits for an attempt that is opening, and
// returns the one that has begun, nil for none.
func (m *attemptMove) takeNext() *streamAttempt {
	m.mu.Lock()
	m.ended = true
	m.endSearch()
	o := m.opening
	m.mu.Unlock()
	if o == nil {
		return nil
	}
	<-o.done
	return o.next
}
