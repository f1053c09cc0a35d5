package agent

import (
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/core"
)

var (
	// errPreempted interrupts a call that yields to a more urgent one.
	errPreempted = eris.New("call yields its slot")
	// errMoved interrupts a call that continues at another endpoint.
	errMoved = eris.New("call moves to another endpoint")
	// errCallerGone interrupts a call whose entry closed the stream.
	errCallerGone = eris.New("caller is gone")
)

// ErrNoEntry reports that no entry has a session to this agent.
var ErrNoEntry = eris.New("no entry is connected")

// ErrNotStaged reports an engine that keeps losing its staged chunks.
var ErrNotStaged = eris.New("engine does not hold the staged chunks")

// ServingError reports an endpoint that does not serve what it was ordered
// to.
type ServingError struct {
	Want, Got core.ModelRef
}

// Error implements error.
func (e *ServingError) Error() string {
	return fmt.Sprintf("endpoint serves %s %s %s, ordered %s %s %s",
		e.Got.Model, e.Got.Version, e.Got.Manifest, e.Want.Model, e.Want.Version, e.Want.Manifest)
}

// FenceError reports an order with an old fencing number.
type FenceError struct {
	Got, Highest core.Fence
}

// Error implements error.
func (e *FenceError) Error() string {
	return fmt.Sprintf("order has fence %d, highest seen is %d", e.Got, e.Highest)
}
