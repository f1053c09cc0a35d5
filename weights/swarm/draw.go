package swarm

import (
	"context"
	"errors"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/weights"
)

// draw requests one chunk from the origin or the store and reports how it
// ended.
func (t *transfer) draw(r weights.Request, source backing.ChunkSource, bytes tally.Counter) {
	ctx, cancel := context.WithTimeout(t.ctx, t.node.cfg.SourceTimeout)
	defer cancel()
	data, err := source.Chunk(ctx, t.digest, r.Chunk)
	if err == nil {
		bytes.Inc(int64(len(data)))
		// A late answer is of use even if the transfer ends meanwhile.
		_ = t.node.pace(t.ctx, len(data))
		err = t.put(r.Chunk, data, r.Source.Kind)
	}
	if err == nil {
		t.post(storedEvent{chunk: r.Chunk, source: r.Source})
		return
	}
	if t.ctx.Err() == nil {
		t.node.deps.Logger.Warn("drawing a chunk failed", "chunk", r.Chunk, "store", r.Source.Kind == weights.SourceStore, "error", err)
	}
	t.post(drawFailure(r, err))
}

func drawFailure(r weights.Request, err error) failedEvent {
	e := failedEvent{chunk: r.Chunk, source: r.Source, failure: weights.FailureUnavailable}
	var limited *backing.LimitedError
	var corrupt *weights.CorruptChunkError
	switch {
	case errors.As(err, &limited):
		e.failure = weights.FailureLimited
		e.retryAfter = time.Duration(limited.RetryAfterMS) * time.Millisecond
	case errors.As(err, &corrupt):
		e.failure = weights.FailureCorrupt
	}
	return e
}
