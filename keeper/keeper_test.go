package keeper

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
	"github.com/snipestep/snipestep/weights"
)

const (
	model  = "m"
	bound  = 8 * time.Second
	chunks = 4
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time {
	return start.Add(time.Duration(ms) * time.Millisecond)
}

// fakeEngine is a stand-in of the engine beside an agent.
type fakeEngine struct {
	staged map[int][]byte
	// rot spoils the next so many chunks that are staged.
	rot    int
	state  EngineState
	loaded [][]byte
	err    error
}

func (e *fakeEngine) State(context.Context, int) (EngineState, error) {
	return e.state, nil
}

func (e *fakeEngine) Stage(_ context.Context, _ string, chunk int, data []byte) error {
	if e.rot > 0 {
		e.rot--
		data = []byte("rotten")
	}
	e.staged[chunk] = data
	return nil
}

func (e *fakeEngine) Staged(_ context.Context, _ string, chunk int) ([]byte, error) {
	if data, ok := e.staged[chunk]; ok {
		return data, nil
	}
	return nil, ErrNotStaged
}

func (e *fakeEngine) Load(_ context.Context, _ string, version, orders uint64) error {
	if e.err != nil || orders != e.state.Orders {
		return ErrOrderRefused
	}
	e.loaded = nil
	for i := range chunks {
		e.loaded = append(e.loaded, e.staged[i])
	}
	e.state.Held = version
	e.state.Orders++
	return nil
}

// chunk returns the bytes of one chunk of a version.
func chunk(version uint64, i int) []byte {
	data := make([]byte, weights.MinChunkSize)
	copy(data, strconv.FormatUint(version, 10)+"/"+strconv.Itoa(i))
	return data
}

// wholeSet returns the weights of a version.
func wholeSet(t *testing.T, version uint64) *weights.Set {
	t.Helper()
	m := &weights.Manifest{
		Model: model, Version: strconv.FormatUint(version, 10), ChunkSize: weights.MinChunkSize, Size: chunks * weights.MinChunkSize,
		Files: []weights.File{{Path: "w", Size: chunks * weights.MinChunkSize}}, Hash: weights.HashSHA256,
	}
	for i := range chunks {
		m.Chunks = append(m.Chunks, sha256.Sum256(chunk(version, i)))
	}
	assert.NilError(t, m.Validate())
	set := weights.NewSet(m)
	for i := range chunks {
		assert.NilError(t, set.Put(i, chunk(version, i)))
	}
	return set
}

// newKeeper returns a keeper with whole copies of some versions.
func newKeeper(t *testing.T, engine Engine, versions ...uint64) *Keeper {
	t.Helper()
	k, err := New(Config{
		Service: "lm", Endpoint: "127.0.0.1:80", DatagramAddr: "127.0.0.1:1", ChunkAddr: "127.0.0.1:2",
		FleetKey: make([]byte, 16), VersionBound: bound, LinkBytes: 1e6, Location: core.Location{Region: "r"},
	}, Deps{Directory: directory.New(slog.New(slog.DiscardHandler)), Engine: engine, Origin: noOrigin{}, Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope})
	assert.NilError(t, err)
	for _, v := range versions {
		k.fetches[v] = &fetch{cancel: func() {}, set: wholeSet(t, v), whole: at(3000)}
	}
	return k
}

type noOrigin struct{ noStore }

func (noOrigin) Manifest(context.Context, string, uint64) (*weights.Manifest, error) {
	return nil, ErrNoStore
}

var service = &directory.Service{Name: "lm", Model: model, Engine: &directory.Engine{Layers: 16, Chunks: chunks}}

func TestTurnsAreSpreadFromTheCopysEndToTheLastTurn(t *testing.T) {
	last := time.Duration(lastTurn * float64(bound))
	assert.Equal(t, turnAt(bound, 3*time.Second, 0, 5, false), 3*time.Second)
	assert.Equal(t, turnAt(bound, 3*time.Second, 4, 5, false), last)
	middle := turnAt(bound, 3*time.Second, 2, 5, false)
	assert.Assert(t, middle > 3*time.Second && middle < last)
	assert.Equal(t, turnAt(bound, time.Second, 0, 5, false), time.Duration(firstTurn*float64(bound)))
	assert.Equal(t, turnAt(bound, 7*time.Second, 3, 5, false), 7*time.Second, "a late copy waits no more")
	assert.Assert(t, turnAt(bound, 0, 0, 5, true) > turnAt(bound, 0, 0, 5, false))
}

func TestEmptyEngineLoadsAtOnceAndOthersWaitForTheirTurn(t *testing.T) {
	k := newKeeper(t, &fakeEngine{}, 2)
	view := k.deps.Directory.View()
	declared := directory.Declared{Version: 2, Since: at(0), Previous: 1}
	version, ok := k.due(at(100), view, declared, &EngineState{Held: 0, Running: 1})
	assert.Assert(t, ok)
	assert.Equal(t, version, uint64(2))
	_, ok = k.due(at(100), view, declared, &EngineState{Held: 1, Running: 1})
	assert.Assert(t, !ok)
	_, ok = k.due(at(8000), view, declared, &EngineState{Held: 1, Running: 1})
	assert.Assert(t, ok)
	_, ok = k.due(at(8000), view, declared, &EngineState{Held: 2})
	assert.Assert(t, !ok, "it is there")
}

func TestVersionWithoutACopyIsNotDue(t *testing.T) {
	k := newKeeper(t, &fakeEngine{})
	_, ok := k.due(at(9000), k.deps.Directory.View(), directory.Declared{Version: 2, Since: at(0), Previous: 1}, &EngineState{Held: 1})
	assert.Assert(t, !ok)
}

func TestReplacedVersionIsLoadedWhileTheNewerOneIsNotThere(t *testing.T) {
	k := newKeeper(t, &fakeEngine{}, 2)
	declared := directory.Declared{Version: 3, Since: at(4000), Previous: 2, PreviousSince: at(0)}
	version, ok := k.due(at(8000), k.deps.Directory.View(), declared, &EngineState{Held: 1, Running: 1})
	assert.Assert(t, ok)
	assert.Equal(t, version, uint64(2))
}

func TestCopyOfAReplacedVersionGoesOnOnlyIfWellUnderWay(t *testing.T) {
	k := newKeeper(t, &fakeEngine{})
	declared := directory.Declared{Version: 3, Previous: 2}
	k.fetches[2] = &fetch{cancel: func() {}, have: 1, total: 64}
	assert.Assert(t, !k.worthEnding(declared, true))
	k.fetches[2].have = 16
	assert.Assert(t, k.worthEnding(declared, false))
	delete(k.fetches, 2)
	k.fetches[3] = &fetch{cancel: func() {}, stalled: true}
	assert.Assert(t, k.worthEnding(declared, true), "the newer one cannot be had")
	assert.Assert(t, !k.worthEnding(declared, false), "neither can be had")
}

// Pattern: the origin goes while a second version is declared. When it is back
// it must not be shared with the first one.
func TestCopyThatStandsStillFarFromItsEndGivesWay(t *testing.T) {
	k := newKeeper(t, &fakeEngine{})
	declared := directory.Declared{Version: 3, Previous: 2}
	k.fetches[2] = &fetch{cancel: func() {}, have: 28, total: 64, stalled: true}
	k.fetches[3] = &fetch{cancel: func() {}, stalled: true}
	assert.Assert(t, !k.worthEnding(declared, false))
	k.fetches[2].have = 48
	assert.Assert(t, k.worthEnding(declared, false), "nearly there")
	k.noteStalled(2)
	assert.Assert(t, k.worthEnding(declared, false), "the chunks stay when a manifest cannot be read")
}

func TestChangeStagesVerifiedBytesAndLoadsThem(t *testing.T) {
	engine := &fakeEngine{staged: map[int][]byte{0: chunk(1, 0), 2: []byte("rotten")}, rot: 2}
	k := newKeeper(t, engine, 2)
	assert.NilError(t, k.change(t.Context(), service, 2, &engine.state))
	for i, data := range engine.loaded {
		assert.DeepEqual(t, data, chunk(2, i))
	}
	assert.Equal(t, engine.state.Held, uint64(2))
	assert.Assert(t, !k.closing.Load())
}

func TestBytesThatStayRottenAreNeverLoaded(t *testing.T) {
	engine := &fakeEngine{staged: map[int][]byte{}, rot: 100}
	k := newKeeper(t, engine, 2)
	var corrupt *weights.CorruptChunkError
	assert.Assert(t, errors.As(k.change(t.Context(), service, 2, &engine.state), &corrupt))
	assert.Equal(t, len(engine.loaded), 0)
}

func TestOrderThatDoesNotFitIsAnError(t *testing.T) {
	engine := &fakeEngine{staged: map[int][]byte{}}
	k := newKeeper(t, engine, 2)
	stale := EngineState{Orders: 5}
	assert.Assert(t, errors.Is(k.change(t.Context(), service, 2, &stale), ErrOrderRefused))
}

func TestOnlyASoundStagedSetIsAdopted(t *testing.T) {
	engine := &fakeEngine{staged: map[int][]byte{}}
	k := newKeeper(t, engine)
	manifest := wholeSet(t, 1).Manifest()
	assert.Assert(t, k.adopt(t.Context(), manifest, model) == nil)
	for i := range chunks {
		engine.staged[i] = chunk(1, i)
	}
	assert.Assert(t, k.adopt(t.Context(), manifest, model).Complete())
	engine.staged[3] = []byte("rotten")
	assert.Assert(t, k.adopt(t.Context(), manifest, model) == nil)
}

func TestEngineSaysWhenItWillClose(t *testing.T) {
	k := newKeeper(t, &fakeEngine{}, 2)
	declared := directory.Declared{Version: 2, Since: at(0), Previous: 1}
	k.state.Store(&EngineState{Held: 1, Running: 3})
	got := k.closesIn(at(2000), k.deps.Directory.View(), declared)
	assert.Equal(t, got, time.Second, "its copy was whole after 3 s, and it is alone")
	assert.Assert(t, k.closesIn(at(0), k.deps.Directory.View(), declared) < 0, "that is far off")
	k.state.Store(&EngineState{Held: 2})
	assert.Assert(t, k.closesIn(at(2000), k.deps.Directory.View(), declared) < 0)
}
