package agent

import (
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/core"
)

var (
	// errPreempted interrupts a call that yields its slot to a more urgent one.
	errPreempted = eris.New("call preempted by a more urgent one")
	// errMoved interrupts a call that continues at another endpoint.
	errMoved = eris.New("call moves to another endpoint")
	// errCallStreamClosed interrupts a call whose entry closed the stream.
	errCallStreamClosed = eris.New("entry closed the call stream")
)

// ErrNoEntry reports that no entry has an open session to this agent.
var ErrNoEntry = eris.New("no entry has an open session")

// ErrNotStaged reports an engine that repeatedly loses its staged chunks.
var ErrNotStaged = eris.New("engine repeatedly lost its staged chunks")

// ServingError reports an endpoint that does not serve the ordered model.
type ServingError struct {
	Want, Got core.ModelRef
}

// Error implements error.
func (e *ServingError) Error() string {
	return fmt.Sprintf("endpoint serves %s %s %s, ordered %s %s %s",
		e.Got.Model, e.Got.Version, e.Got.Manifest, e.Want.Model, e.Want.Version, e.Want.Manifest)
}

// FenceError reports an order with a stale fencing number.
type FenceError struct {
	Got, Highest core.Fence
}

// Error implements error.
func (e *FenceError) Error() string {
	return fmt.Sprintf("order has fence %d, highest seen is %d", e.Got, e.Highest)
}
