package entry

import (
	"context"
	"net/http"
	"time"
)

// lastAnswerTime is the part of Config.ShutdownGrace reserved for the answers to calls that have
// not ended by then. It is at most half of the grace.
const lastAnswerTime = time.Second

// shutDown waits for the running calls until the grace is nearly over, then ends the rest, so
// that each gets an answer that says whether it may have run. It blocks for grace at most.
func shutDown(server *http.Server, grace time.Duration, endCalls func()) {
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	running, cancelRunning := context.WithTimeout(ctx, grace-min(lastAnswerTime, grace/2))
	defer cancelRunning()
	if server.Shutdown(running) == nil {
		return
	}
	endCalls()
	_ = server.Shutdown(ctx) // What has no answer by then is cut when the server closes.
}
