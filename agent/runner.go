package agent

import (
	"context"
	"time"

	"github.com/snipestep/snipestep/wire"
)

// clock returns the current time.
type clock func() time.Time

// sendFunc sends one event to the entry.
type sendFunc func(m message) error

// runner runs one job at the endpoint. It sends tokens as they arrive and
// returns the final event, which is never nil.
type runner interface {
	run(ctx context.Context, j *job, send sendFunc) *wire.CallEvent
}
