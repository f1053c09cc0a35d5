package sidecar

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/backing"
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/weights"
)

// interruptedOrigin is an origin that is away for a while.
type interruptedOrigin struct {
	set            *weights.Set
	downFrom, upAt time.Time
	// manifestReads counts the reads of the manifest, chunks those of chunks that succeeded.
	manifestReads, chunks int
}

func (o *interruptedOrigin) Manifest(context.Context, string, uint64) (*weights.Manifest, error) {
	o.manifestReads++
	return o.set.Manifest(), nil
}

func (o *interruptedOrigin) Chunk(_ context.Context, _ core.Digest, index int) ([]byte, error) {
	time.Sleep(time.Second)
	if now := time.Now(); !now.Before(o.downFrom) && now.Before(o.upAt) {
		return nil, &backing.UnavailableError{Service: "origin", Cause: backing.ErrNotFound}
	}
	o.chunks++
	data, _ := o.set.Get(index)
	return data, nil
}

// Guards against agents that all read the manifest again and restart their copies when the
// origin returns: the manifests fill its link, and a restart breaks the copies of others.
func TestCopyGoesOnAfterAnOutageOfTheOrigin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReconciler(t, &fakeEngine{})
		origin := &interruptedOrigin{set: completeSet(t, 2), downFrom: time.Now().Add(1500 * time.Millisecond), upAt: time.Now().Add(10 * time.Second)}
		r.deps.Origin = origin
		node, err := r.newSwarmNode()
		assert.NilError(t, err)
		r.node = node
		set := r.fetchChunks(t.Context(), origin.set.Manifest())
		assert.Assert(t, set != nil, "the copy was restarted")
		assert.Equal(t, origin.manifestReads, 0)
		assert.Equal(t, origin.chunks, testChunkCount)
	})
}

// replacedOrigin is an origin whose manifest was corrupt when it was first read.
type replacedOrigin struct{ interruptedOrigin }

func (o *replacedOrigin) Chunk(context.Context, core.Digest, int) ([]byte, error) {
	return []byte("chunk of another manifest"), nil
}

// Guards against an agent that keeps a corrupt manifest, which no chunk would ever match.
func TestCopyOfACorruptManifestIsRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReconciler(t, &fakeEngine{})
		origin := &replacedOrigin{interruptedOrigin{set: completeSet(t, 3)}}
		r.deps.Origin = origin
		node, err := r.newSwarmNode()
		assert.NilError(t, err)
		r.node = node
		assert.Assert(t, r.fetchChunks(t.Context(), completeSet(t, 2).Manifest()) == nil)
		assert.Equal(t, origin.manifestReads, 1)
	})
}
