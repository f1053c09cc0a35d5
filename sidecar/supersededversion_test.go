package sidecar

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/internal/versiontest"
)

// declareDuringOutage declares version 2, and version 3 while the origin is away. Version 2 is
// of use until requests have to start on version 3.
func declareDuringOutage() directory.DeclaredVersion {
	return directory.DeclaredVersion{
		Declaration: versiontest.Declared(3, at(3000)),
		Superseded:  []directory.Declaration{versiontest.Declared(2, at(0))},
	}
}

// The pattern: the origin fails while two versions are declared, and returns when the first
// one can no longer be loaded in time to be of use. Its download would only take the origin
// and the links from the second one, without which nothing is served.
func TestSupersededDownloadEndsOnceItIsTooLateToBeOfUse(t *testing.T) {
	r := newReconciler(t, &fakeEngine{})
	declared := declareDuringOutage()
	nearlyComplete := &download{cancel: func() {}, haveChunks: 85, totalChunks: 96, stalled: true}
	nearlyComplete.beganAt, nearlyComplete.progressedAt = at(0), at(4250) // 50 ms a chunk.
	r.downloads[2] = nearlyComplete
	r.downloads[3] = &download{cancel: func() {}, stalled: true}
	// Eleven chunks, the switch, a second of use and the margin of the entries.
	latest := at(3000).Add(testVersionBound - directory.VersionSafetyMargin - minSupersededUse - switchDuration - 550*time.Millisecond)
	assert.Assert(t, r.shouldFinishPrevious(latest, declared, true))
	assert.Assert(t, !r.shouldFinishPrevious(latest.Add(time.Millisecond), declared, true))

	r.reconcileDownloads(t.Context(), r.deps.Directory.View(), testService, declared, &EngineState{LoadedVersion: 1})
	assert.Assert(t, r.downloads[2] == nil, "the declarations are long ago by the reconciler's clock")
	assert.Assert(t, r.downloads[3] != nil)
}

// Guards against an engine that loads a version on which no request may start any more, and
// that is still busy with it when the next version arrives.
func TestVersionThatIsOfNoUseIsNotLoaded(t *testing.T) {
	r := newReconciler(t, &fakeEngine{}, 2)
	declared, state := declareDuringOutage(), &EngineState{LoadedVersion: 1}
	latest := at(3000).Add(testVersionBound - directory.VersionSafetyMargin - minSupersededUse - switchDuration)
	version, ok := r.dueVersion(latest, r.deps.Directory.View(), declared, state)
	assert.Assert(t, ok)
	assert.Equal(t, version, uint64(2))
	_, ok = r.dueVersion(latest.Add(time.Millisecond), r.deps.Directory.View(), declared, state)
	assert.Assert(t, !ok)
}

// The declared version is loaded however late it comes.
func TestDeclaredVersionIsAlwaysWorthLoading(t *testing.T) {
	r := newReconciler(t, &fakeEngine{}, 3)
	version, ok := r.dueVersion(at(600_000), r.deps.Directory.View(), declareDuringOutage(), &EngineState{LoadedVersion: 1})
	assert.Assert(t, ok)
	assert.Equal(t, version, uint64(3))
}
