package swarm

import (
	"context"
	"errors"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/weights"
)

// fetchFromSource requests one chunk from the origin or the store and posts the
// outcome.
func (t *transfer) fetchFromSource(r weights.Request, source backing.ChunkSource, counter tally.Counter) {
	ctx, cancel := context.WithTimeout(t.ctx, t.node.cfg.SourceTimeout)
	defer cancel()
	data, err := source.Chunk(ctx, t.digest, r.Chunk)
	if err == nil {
		counter.Inc(int64(len(data)))
		// The chunk is stored even if the transfer has ended meanwhile, since it
		// is still of use.
		_ = t.node.paceReceive(t.ctx, len(data))
		err = t.storeChunk(r.Chunk, data, r.Source.Kind)
	}
	if err == nil {
		t.post(storedEvent{chunk: r.Chunk, source: r.Source})
		return
	}
	if t.ctx.Err() == nil {
		t.node.deps.Logger.Warn("failed to fetch chunk from origin or store", "chunk", r.Chunk, "store", r.Source.Kind == weights.SourceStore, "error", err)
	}
	t.post(sourceFailure(r, err))
}

func sourceFailure(r weights.Request, err error) failedEvent {
	e := failedEvent{chunk: r.Chunk, source: r.Source, failure: weights.FailureUnavailable}
	var limited *backing.RateLimitedError
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
