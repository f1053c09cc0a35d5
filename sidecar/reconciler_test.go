package sidecar

import (
	"context"
	"crypto/sha256"
	"errors"
	"log/slog"
	"strconv"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/internal/versiontest"
	"github.com/snipestep/snipestep/weights"
)

const (
	testModel        = "m"
	testVersionBound = 8 * time.Second
	testChunkCount   = 4
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time {
	return start.Add(time.Duration(ms) * time.Millisecond)
}

// fakeEngine is a fake of the local engine.
type fakeEngine struct {
	staged map[int][]byte
	// corruptStages is the number of following Stage calls that store corrupt data.
	corruptStages int
	state         EngineState
	loaded        [][]byte
	loadErr       error
}

func (e *fakeEngine) State(context.Context, int) (EngineState, error) {
	return e.state, nil
}

func (e *fakeEngine) Stage(_ context.Context, _ string, chunk int, data []byte) error {
	if e.corruptStages > 0 {
		e.corruptStages--
		data = []byte("corrupt")
	}
	e.staged[chunk] = data
	return nil
}

func (e *fakeEngine) ReadStaged(_ context.Context, _ string, chunk int) ([]byte, error) {
	if data, ok := e.staged[chunk]; ok {
		return data, nil
	}
	return nil, ErrNotStaged
}

func (e *fakeEngine) Load(_ context.Context, _ string, version, ordersStarted uint64) error {
	if e.loadErr != nil || ordersStarted != e.state.OrdersStarted {
		return ErrOrderRefused
	}
	e.loaded = nil
	for i := range testChunkCount {
		e.loaded = append(e.loaded, e.staged[i])
	}
	e.state.LoadedVersion = version
	e.state.OrdersStarted++
	return nil
}

// testChunk returns the bytes of one chunk of a version.
func testChunk(version uint64, i int) []byte {
	data := make([]byte, weights.MinChunkSize)
	copy(data, strconv.FormatUint(version, 10)+"/"+strconv.Itoa(i))
	return data
}

// completeSet returns the complete weights of a version.
func completeSet(t *testing.T, version uint64) *weights.Set {
	t.Helper()
	manifest := &weights.Manifest{
		Model: testModel, Version: strconv.FormatUint(version, 10), ChunkSize: weights.MinChunkSize, Size: testChunkCount * weights.MinChunkSize,
		Files: []weights.File{{Path: "w", Size: testChunkCount * weights.MinChunkSize}}, Hash: weights.HashSHA256,
	}
	for i := range testChunkCount {
		manifest.Chunks = append(manifest.Chunks, sha256.Sum256(testChunk(version, i)))
	}
	assert.NilError(t, manifest.Validate())
	set := weights.NewSet(manifest)
	for i := range testChunkCount {
		assert.NilError(t, set.Put(i, testChunk(version, i)))
	}
	return set
}

// newReconciler returns a Reconciler with complete downloads of some versions.
func newReconciler(t *testing.T, engine Engine, versions ...uint64) *Reconciler {
	t.Helper()
	r, err := New(Config{
		Service: "lm", EngineAddr: "127.0.0.1:80", DatagramAddr: "127.0.0.1:1", ChunkAddr: "127.0.0.1:2",
		FleetKey: make([]byte, 16), VersionBound: testVersionBound, LinkBytesPerSecond: 1e6, Location: core.Location{Region: "r"},
	}, Deps{Directory: directory.New(slog.New(slog.DiscardHandler)), Engine: engine, Origin: noOrigin{}, Now: time.Now, Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope})
	assert.NilError(t, err)
	for _, v := range versions {
		r.downloads[v] = &download{cancel: func() {}, set: completeSet(t, v), completedAt: at(3000)}
	}
	return r
}

type noOrigin struct{ noWeightStore }

func (noOrigin) Manifest(context.Context, string, uint64) (*weights.Manifest, error) {
	return nil, ErrNoWeightStore
}

var testService = &directory.Service{Name: "lm", Model: testModel, Engine: &directory.Engine{Layers: 16, Chunks: testChunkCount}}

func TestSwitchesAreSpreadFromDownloadToLastOffset(t *testing.T) {
	latest := time.Duration(lastSwitchFraction * float64(testVersionBound))
	assert.Equal(t, switchOffset(testVersionBound, 3*time.Second, 0, 5, false), 3*time.Second)
	assert.Equal(t, switchOffset(testVersionBound, 3*time.Second, 4, 5, false), latest)
	middle := switchOffset(testVersionBound, 3*time.Second, 2, 5, false)
	assert.Assert(t, middle > 3*time.Second && middle < latest)
	assert.Equal(t, switchOffset(testVersionBound, time.Second, 0, 5, false), time.Duration(firstSwitchFraction*float64(testVersionBound)))
	assert.Equal(t, switchOffset(testVersionBound, 7*time.Second, 3, 5, false), 7*time.Second, "a late download switches at once")
	assert.Assert(t, switchOffset(testVersionBound, 0, 0, 5, true) > switchOffset(testVersionBound, 0, 0, 5, false))
}

func TestEmptyEngineSwitchesAtOnceAndOthersAtTheirOffset(t *testing.T) {
	r := newReconciler(t, &fakeEngine{}, 2)
	view := r.deps.Directory.View()
	declared := directory.DeclaredVersion{Declaration: versiontest.Declared(2, at(0))}
	version, ok := r.dueVersion(at(100), view, declared, &EngineState{LoadedVersion: 0, Running: 1})
	assert.Assert(t, ok)
	assert.Equal(t, version, uint64(2))
	_, ok = r.dueVersion(at(100), view, declared, &EngineState{LoadedVersion: 1, Running: 1})
	assert.Assert(t, !ok)
	_, ok = r.dueVersion(at(8000), view, declared, &EngineState{LoadedVersion: 1, Running: 1})
	assert.Assert(t, ok)
	_, ok = r.dueVersion(at(8000), view, declared, &EngineState{LoadedVersion: 2})
	assert.Assert(t, !ok, "the version is loaded already")
}

func TestVersionThatIsNotDownloadedIsNotDue(t *testing.T) {
	r := newReconciler(t, &fakeEngine{})
	_, ok := r.dueVersion(at(9000), r.deps.Directory.View(), directory.DeclaredVersion{Declaration: versiontest.Declared(2, at(0))}, &EngineState{LoadedVersion: 1})
	assert.Assert(t, !ok)
}

func TestPreviousVersionIsLoadedWhileTheDeclaredOneIsIncomplete(t *testing.T) {
	r := newReconciler(t, &fakeEngine{}, 2)
	declared := directory.DeclaredVersion{
		Declaration: versiontest.Declared(3, at(4000)),
		Superseded:  []directory.Declaration{versiontest.Declared(2, at(0))},
	}
	version, ok := r.dueVersion(at(8000), r.deps.Directory.View(), declared, &EngineState{LoadedVersion: 1, Running: 1})
	assert.Assert(t, ok)
	assert.Equal(t, version, uint64(2))
}

func TestSupersededDownloadContinuesOnlyAboveMinimumFraction(t *testing.T) {
	r := newReconciler(t, &fakeEngine{})
	declared := directory.DeclaredVersion{Declaration: versiontest.Declared(3, at(2000)), Superseded: []directory.Declaration{versiontest.Declared(2, at(0))}}
	r.downloads[2] = &download{cancel: func() {}, haveChunks: 1, totalChunks: 64}
	assert.Assert(t, !r.shouldFinishPrevious(at(3000), declared, true))
	r.downloads[2].haveChunks = 16
	assert.Assert(t, r.shouldFinishPrevious(at(3000), declared, false))
	delete(r.downloads, 2)
	r.downloads[3] = &download{cancel: func() {}, stalled: true}
	assert.Assert(t, r.shouldFinishPrevious(at(3000), declared, true), "the newer one is stalled")
	assert.Assert(t, !r.shouldFinishPrevious(at(3000), declared, false), "neither version is available")
}

// The origin fails while a second version is declared. Once it is back, the two
// downloads must not share it.
func TestStalledSupersededDownloadContinuesOnlyIfNearlyComplete(t *testing.T) {
	r := newReconciler(t, &fakeEngine{})
	declared := directory.DeclaredVersion{Declaration: versiontest.Declared(3, at(2000)), Superseded: []directory.Declaration{versiontest.Declared(2, at(0))}}
	r.downloads[2] = &download{cancel: func() {}, haveChunks: 28, totalChunks: 64, stalled: true}
	r.downloads[3] = &download{cancel: func() {}, stalled: true}
	assert.Assert(t, !r.shouldFinishPrevious(at(3000), declared, false))
	r.downloads[2].haveChunks = 48
	assert.Assert(t, r.shouldFinishPrevious(at(3000), declared, false), "nearly complete")
	r.recordStall(2)
	assert.Assert(t, r.shouldFinishPrevious(at(3000), declared, false), "the chunks stay when the manifest cannot be read")
}

func TestSwitchStagesVerifiedChunksAndLoadsThem(t *testing.T) {
	engine := &fakeEngine{staged: map[int][]byte{0: testChunk(1, 0), 2: []byte("corrupt")}, corruptStages: 2}
	r := newReconciler(t, engine, 2)
	assert.NilError(t, r.switchVersion(t.Context(), testService, 2, &engine.state))
	for i, data := range engine.loaded {
		assert.DeepEqual(t, data, testChunk(2, i))
	}
	assert.Equal(t, engine.state.LoadedVersion, uint64(2))
	assert.Assert(t, !r.switching.Load())
}

func TestCorruptStagedChunksAreNeverLoaded(t *testing.T) {
	engine := &fakeEngine{staged: map[int][]byte{}, corruptStages: 100}
	r := newReconciler(t, engine, 2)
	var corrupt *weights.CorruptChunkError
	assert.Assert(t, errors.As(r.switchVersion(t.Context(), testService, 2, &engine.state), &corrupt))
	assert.Equal(t, len(engine.loaded), 0)
}

func TestStaleLoadOrderIsRefused(t *testing.T) {
	engine := &fakeEngine{staged: map[int][]byte{}}
	r := newReconciler(t, engine, 2)
	stale := EngineState{OrdersStarted: 5}
	assert.Assert(t, errors.Is(r.switchVersion(t.Context(), testService, 2, &stale), ErrOrderRefused))
}

func TestOnlyAnIntactStagedSetIsRecovered(t *testing.T) {
	engine := &fakeEngine{staged: map[int][]byte{}}
	r := newReconciler(t, engine)
	manifest := completeSet(t, 1).Manifest()
	assert.Assert(t, r.recoverStagedSet(t.Context(), manifest, testModel) == nil)
	for i := range testChunkCount {
		engine.staged[i] = testChunk(1, i)
	}
	assert.Assert(t, r.recoverStagedSet(t.Context(), manifest, testModel).Complete())
	engine.staged[3] = []byte("corrupt")
	assert.Assert(t, r.recoverStagedSet(t.Context(), manifest, testModel) == nil)
}

func TestTimeToSwitchIsKnownShortlyBefore(t *testing.T) {
	r := newReconciler(t, &fakeEngine{}, 2)
	declared := directory.DeclaredVersion{Declaration: versiontest.Declared(2, at(0))}
	r.engineState.Store(&EngineState{LoadedVersion: 1, Running: 3})
	timeToSwitch := r.timeToSwitch(at(2000), r.deps.Directory.View(), declared)
	assert.Equal(t, timeToSwitch, time.Second, "the only engine switches when its download completes, at 3 s")
	assert.Assert(t, r.timeToSwitch(at(0), r.deps.Directory.View(), declared) < 0, "the switch is not within the notice period")
	r.engineState.Store(&EngineState{LoadedVersion: 2})
	assert.Assert(t, r.timeToSwitch(at(2000), r.deps.Directory.View(), declared) < 0)
}

// Guards against an engine that entries may not use any more since version 2 became
// mandatory, and that waits for the deadline of a version declared later.
func TestSwitchDeadlineIsThatOfTheFirstVersionTheEngineLacks(t *testing.T) {
	r := newReconciler(t, &fakeEngine{}, 4)
	r.deps.Directory.SetDeclaration(testModel, versiontest.Declared(2, at(0)))
	r.deps.Directory.SetDeclaration(testModel, versiontest.Declared(3, at(2000)))
	r.deps.Directory.SetDeclaration(testModel, versiontest.Declared(4, at(5000)))
	view := r.deps.Directory.View()
	switchAt, version, ok := r.scheduledSwitch(at(5000), view, view.DeclaredVersion(testModel), &EngineState{LoadedVersion: 1, Running: 1})
	assert.Assert(t, ok)
	assert.Equal(t, version, uint64(4))
	assert.Equal(t, switchAt, at(0).Add(time.Duration(lastSwitchFraction*float64(testVersionBound))))
}
