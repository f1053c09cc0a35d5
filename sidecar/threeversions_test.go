package sidecar

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/internal/versiontest"
)

// declareThreeVersions declares versions 2, 3 and 4 within testVersionBound.
func declareThreeVersions(r *Reconciler) (*directory.View, directory.DeclaredVersion) {
	r.deps.Directory.SetDeclaration(testModel, versiontest.Declared(2, at(0)))
	r.deps.Directory.SetDeclaration(testModel, versiontest.Declared(3, at(3000)))
	r.deps.Directory.SetDeclaration(testModel, versiontest.Declared(4, at(6000)))
	view := r.deps.Directory.View()
	return view, view.DeclaredVersion(testModel)
}

// A third version is declared before the engine has switched to the first. While
// neither newer one is there, the engine has to serve the first.
func TestCompleteDownloadIsKeptUntilANewerOneIsComplete(t *testing.T) {
	r := newReconciler(t, &fakeEngine{}, 2)
	view, declared := declareThreeVersions(r)
	state := &EngineState{LoadedVersion: 1, Running: 1}
	r.reconcileDownloads(t.Context(), view, testService, declared, state)
	assert.Assert(t, r.downloadedSet(2) != nil, "complete download was dropped")
	version, ok := r.dueVersion(at(7000), view, declared, state)
	assert.Assert(t, ok, "the engine keeps version 1, which no request may use from 8 s on")
	assert.Equal(t, version, uint64(2))
}

// The engine switches before the oldest version that it has not loaded is mandatory.
func TestSwitchMeetsTheBoundOfTheFirstOfThreeVersions(t *testing.T) {
	r := newReconciler(t, &fakeEngine{}, 4)
	view, declared := declareThreeVersions(r)
	switchAt, version, ok := r.scheduledSwitch(at(6000), view, declared, &EngineState{LoadedVersion: 1, Running: 1})
	assert.Assert(t, ok)
	assert.Equal(t, version, uint64(4))
	assert.Assert(t, switchAt.Before(at(8000)), "switch at %v after the first declaration", switchAt.Sub(at(0)))
}
