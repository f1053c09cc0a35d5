package sidecar

import (
	"context"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
)

// endlessEngine is an engine whose staged chunks have no end.
type endlessEngine struct{ fakeEngine }

func (*endlessEngine) ReadStaged(ctx context.Context, _ string, _ int) ([]byte, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against an engine that sends a staged chunk a byte at a time, without end,
// and so keeps its agent from downloading the version.
func TestEndlessStagedChunkDoesNotHoldTheDownload(t *testing.T) {
	r := newReconciler(t, &endlessEngine{})
	manifest := completeSet(t, 2).Manifest()
	synctest.Test(t, func(t *testing.T) {
		assert.Assert(t, r.recoverStagedSet(t.Context(), manifest, testModel) == nil)
	})
}
