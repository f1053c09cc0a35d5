package directory_test

import (
	"log/slog"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/directory"
)

var (
	start               = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	errStoreUnavailable = eris.New("store is unavailable")
)

func at(ms int) time.Time {
	return start.Add(time.Duration(ms) * time.Millisecond)
}

func newDirectory() *directory.Directory {
	return directory.New(slog.New(slog.DiscardHandler))
}

func TestOlderDocumentDoesNotReplaceNewerOne(t *testing.T) {
	d := newDirectory()
	d.SetDocument(&directory.Document{Version: 7})
	d.SetDocument(&directory.Document{Version: 5})
	assert.Equal(t, d.View().Document.Version, uint64(7))
}

func TestRemovedEndpointIsDroppedImmediately(t *testing.T) {
	d := newDirectory()
	d.PutEndpoint(&directory.Endpoint{ID: "a"})
	d.DropEndpoint(at(60_000), "a")
	assert.Equal(t, len(d.View().Endpoints), 0)
}

func TestEndpointMissingAfterOutageIsKeptForGracePeriod(t *testing.T) {
	d := newDirectory()
	d.PutEndpoint(&directory.Endpoint{ID: "back"})
	d.PutEndpoint(&directory.Endpoint{ID: "gone"})
	d.SetStoreUp(at(0), false, errStoreUnavailable)
	d.SetStoreUp(at(5000), true, nil)
	d.Retain(at(5000), map[string]bool{})
	assert.Equal(t, len(d.View().Endpoints), 2)
	d.PutEndpoint(&directory.Endpoint{ID: "back"})
	d.ExpireMissing(at(6000))
	assert.Equal(t, len(d.View().Endpoints), 2)
	d.ExpireMissing(at(7001))
	assert.Assert(t, d.View().Endpoints["back"] != nil)
	assert.Assert(t, d.View().Endpoints["gone"] == nil)
}

func TestDeclaredVersionOnlyIncreasesAndKeepsPrevious(t *testing.T) {
	d := newDirectory()
	assert.Equal(t, d.View().DeclaredVersion("m").Version, uint64(directory.FirstVersion))
	d.SetDeclaredVersion(at(0), "m", 2, directory.Known)
	d.SetDeclaredVersion(at(100), "m", 3, directory.Known)
	d.SetDeclaredVersion(at(200), "m", 2, directory.Known)
	declared := d.View().DeclaredVersion("m")
	assert.Equal(t, declared.Version, uint64(3))
	assert.Equal(t, declared.Previous(), directory.Declaration{Version: 2, DeclaredAt: at(0)})
}

func TestEstimatedDeclarationTimeIsReplacedByReportedOne(t *testing.T) {
	d := newDirectory()
	d.SetDeclaredVersion(at(-5000), "m", 2, directory.Guessed)
	d.MergeDeclaration("m", directory.Declaration{Version: 1, DeclaredAt: at(0)})
	assert.Equal(t, d.View().DeclaredVersion("m").DeclaredAt, at(-5000))
	d.MergeDeclaration("m", directory.Declaration{Version: 2, DeclaredAt: at(-1000)})
	assert.Equal(t, d.View().DeclaredVersion("m").DeclaredAt, at(-1000))
	assert.Assert(t, d.View().DeclaredVersion("m").Certainty == directory.Known)
}

// A large document can delay the watch of one process, so that it learns of a
// version later than others.
func TestEarliestReportedDeclarationTimeWins(t *testing.T) {
	d := newDirectory()
	d.SetDeclaredVersion(at(0), "m", 2, directory.Known)
	d.MergeDeclaration("m", directory.Declaration{Version: 2, DeclaredAt: at(-100)})
	assert.Equal(t, d.View().DeclaredVersion("m").DeclaredAt, at(0), "difference is within the resolution of reported ages")
	d.MergeDeclaration("m", directory.Declaration{Version: 2, DeclaredAt: at(-900)})
	assert.Equal(t, d.View().DeclaredVersion("m").DeclaredAt, at(-900))
	d.MergeDeclaration("m", directory.Declaration{Version: 2, DeclaredAt: at(0)})
	assert.Equal(t, d.View().DeclaredVersion("m").DeclaredAt, at(-900), "the earliest reported time counts")
	d.MergeDeclaration("m", directory.Declaration{Version: 3, DeclaredAt: at(500)})
	assert.Equal(t, d.View().DeclaredVersion("m").Version, uint64(3))
	d.SetDeclaredVersion(at(1500), "m", 3, directory.Known)
	assert.Equal(t, d.View().DeclaredVersion("m").DeclaredAt, at(500))
	d.MergeDeclaration("other", directory.Declaration{Version: 1, DeclaredAt: at(0)})
	_, known := d.View().DeclaredVersions["other"]
	assert.Assert(t, !known, "the first version needs no declaration")
}

func TestLongestMatchingPrefixWins(t *testing.T) {
	d := &directory.Document{}
	long := &directory.Route{Host: "a.example", Prefix: "/x/y/"}
	short := &directory.Route{Host: "A.example", Prefix: "/x/"}
	d.SetRoutes([]*directory.Route{short, long})
	assert.Equal(t, d.Match("a.example:80", "/x/y/z"), long)
	assert.Equal(t, d.Match("A.EXAMPLE", "/x/z"), short)
	assert.Assert(t, d.Match("a.example", "/y/") == nil)
	assert.Assert(t, d.Match("b.example", "/x/") == nil)
}

func TestPickFollowsBackendWeights(t *testing.T) {
	r := directory.Route{Backends: []directory.Backend{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	assert.Equal(t, r.Pick(0.5), "a")
	assert.Equal(t, r.Pick(0.95), "b")
	assert.Equal(t, (&directory.Route{}).Pick(0.5), "")
}

func TestSubscribersSeeEveryView(t *testing.T) {
	d := newDirectory()
	views := 0
	d.Subscribe(func(*directory.View) { views++ })
	d.PutEndpoint(&directory.Endpoint{ID: "a"})
	d.PutEndpoint(&directory.Endpoint{ID: "a"})
	assert.Equal(t, views, 2, "an unchanged endpoint creates no new view")
}

// After a power failure the endpoint list holds old and new incarnations.
func TestOnlyLatestIncarnationOfAnAddressIsReturned(t *testing.T) {
	d := newDirectory()
	d.PutEndpoint(&directory.Endpoint{ID: "old", Address: "10.0.0.1:80", StartedUnixMS: 1, LoadedVersion: 3})
	d.PutEndpoint(&directory.Endpoint{ID: "new", Address: "10.0.0.1:80", StartedUnixMS: 2})
	d.PutEndpoint(&directory.Endpoint{ID: "other", Address: "10.0.0.2:80"})
	var ids []string
	for _, e := range d.View().LatestEndpoints() {
		ids = append(ids, e.ID)
	}
	assert.DeepEqual(t, ids, []string{"new", "other"})
}

// Guards against a superseded version whose deadline is lost because this process
// never learnt of it, or learnt of it late.
func TestReportedDeclarationsOfSupersededVersionsAreMerged(t *testing.T) {
	d := newDirectory()
	d.SetDeclaredVersion(at(3000), "m", 4, directory.Known)
	d.MergeDeclaration("m", directory.Declaration{Version: 2, DeclaredAt: at(0)})
	d.MergeDeclaration("m", directory.Declaration{Version: 3, DeclaredAt: at(2500), Certainty: directory.Estimated})
	d.MergeDeclaration("m", directory.Declaration{Version: 3, DeclaredAt: at(2000)})
	d.MergeDeclaration("m", directory.Declaration{Version: 2, DeclaredAt: at(-1000), Certainty: directory.Estimated})
	d.MergeDeclaration("m", directory.Declaration{Version: 1, DeclaredAt: at(0)})
	assert.DeepEqual(t, d.View().DeclaredVersion("m"), directory.DeclaredVersion{
		Declaration: directory.Declaration{Version: 4, DeclaredAt: at(3000)},
		Superseded:  []directory.Declaration{{Version: 3, DeclaredAt: at(2000)}, {Version: 2, DeclaredAt: at(0)}},
	})
}

// Guards against a version from the store that is dropped because reports named a newer
// one first.
func TestStoreAddsAVersionOlderThanTheReportedOne(t *testing.T) {
	d := newDirectory()
	d.SetDeclaredVersion(at(0), "m", 2, directory.Known)
	d.MergeDeclaration("m", directory.Declaration{Version: 4, DeclaredAt: at(2000)})
	d.SetDeclaredVersion(at(2100), "m", 3, directory.Known)
	declared := d.View().DeclaredVersion("m")
	assert.Equal(t, declared.Version, uint64(4))
	assert.Equal(t, declared.Previous().Version, uint64(3))
	assert.Equal(t, declared.FirstAfter(1).Version, uint64(2))
	assert.Equal(t, declared.FirstAfter(3).Version, uint64(4))
}

// Guards against a required version that falls when more versions are declared within
// the bound than are kept.
func TestRequiredVersionNeverFallsWhenManyAreDeclared(t *testing.T) {
	d := newDirectory()
	const bound = time.Minute
	d.SetDeclaredVersion(at(-60_000), "m", 2, directory.Known)
	required := uint64(0)
	for second := range 50 {
		now := at(1000 * second)
		d.SetDeclaredVersion(now, "m", uint64(3+second), directory.Known)
		next := d.View().DeclaredVersion("m").Required(now, bound)
		assert.Assert(t, next >= required, "%d after %d", next, required)
		required = next
	}
	assert.Equal(t, required, uint64(2))
}

func TestSupersededVersionsAreBounded(t *testing.T) {
	d := newDirectory()
	const newest = directory.MaxSuperseded + 5
	for version := 2; version <= newest; version++ {
		d.SetDeclaredVersion(at(1000*version), "m", uint64(version), directory.Known)
	}
	views := 0
	d.Subscribe(func(*directory.View) { views++ })
	for _, dropped := range []uint64{3, 5} {
		d.MergeDeclaration("m", directory.Declaration{Version: dropped, DeclaredAt: at(0)})
	}
	declared := d.View().DeclaredVersion("m")
	assert.Equal(t, views, 1, "a version that is not kept changes nothing")
	assert.Equal(t, len(declared.Superseded), directory.MaxSuperseded)
	assert.Equal(t, declared.FirstAfter(2).Version, uint64(newest-directory.MaxSuperseded+1))
}

// A store that fails one call every 1.5 s, or refuses one machine now and then, must not
// keep an endpoint in use that left: missingGrace would begin anew each time.
func TestEndpointThatLeftIsDroppedWhileTheStoreFlaps(t *testing.T) {
	d := newDirectory()
	d.PutEndpoint(&directory.Endpoint{ID: "left"})
	d.SetStoreUp(at(0), false, errStoreUnavailable)
	d.SetStoreUp(at(100), true, nil)
	d.DropEndpoint(at(100), "left")
	for ms := 1500; ms <= 15_000; ms += 1500 {
		d.SetStoreUp(at(ms), false, errStoreUnavailable)
		d.SetStoreUp(at(ms+100), true, nil)
		d.ExpireMissing(at(ms + 1400))
	}
	assert.Assert(t, d.View().Endpoints["left"] == nil, "still in use 15 s after it left")
}

// Guards against the loss of endpoints that had no time to be listed again because
// another outage followed.
func TestEndpointMissingAfterAnOutageIsKeptThroughTheNextOne(t *testing.T) {
	d := newDirectory()
	d.PutEndpoint(&directory.Endpoint{ID: "a"})
	d.SetStoreUp(at(0), false, errStoreUnavailable)
	d.SetStoreUp(at(5000), true, nil)
	d.DropEndpoint(at(5000), "a")
	d.SetStoreUp(at(6000), false, errStoreUnavailable)
	d.ExpireMissing(at(20_000))
	d.SetStoreUp(at(30_000), true, nil)
	d.ExpireMissing(at(30_900))
	assert.Assert(t, d.View().Endpoints["a"] != nil)
	d.ExpireMissing(at(31_000))
	assert.Assert(t, d.View().Endpoints["a"] == nil)
}

// Guards against a process that started after an outage and holds on to its guess,
// although others saw the version in the store's first answer.
func TestReportedEstimateReplacesTheGuessOfAStart(t *testing.T) {
	d := newDirectory()
	d.SetDeclaredVersion(at(-5000), "m", 2, directory.Guessed)
	d.MergeDeclaration("m", directory.Declaration{Version: 2, DeclaredAt: at(-1000), Certainty: directory.Estimated})
	d.MergeDeclaration("m", directory.Declaration{Version: 2, DeclaredAt: at(-9000), Certainty: directory.Guessed})
	assert.Equal(t, d.View().DeclaredVersion("m").DeclaredAt, at(-1000))
}

// Guards against an estimate from a report that locks out the time from the store.
func TestKnownTimeFromTheStoreReplacesAnEstimate(t *testing.T) {
	d := newDirectory()
	d.MergeDeclaration("m", directory.Declaration{Version: 3, DeclaredAt: at(-5500), Certainty: directory.Estimated})
	d.SetDeclaredVersion(at(20), "m", 3, directory.Known)
	assert.Equal(t, d.View().DeclaredVersion("m").DeclaredAt, at(20))
	d.SetDeclaredVersion(at(60_000), "m", 3, directory.Estimated)
	d.SetDeclaredVersion(at(70_000), "m", 3, directory.Known)
	assert.Equal(t, d.View().DeclaredVersion("m").DeclaredAt, at(20), "a later read tells nothing new")
}

// Guards against a process that learnt of a version late, while it was paused, and makes
// it younger at one that had read it before.
func TestTimeAfterTheFirstReadIsNotTaken(t *testing.T) {
	d := newDirectory()
	d.SetInitialVersion(at(0), "m", 2, 5500*time.Millisecond)
	d.MergeDeclaration("m", directory.Declaration{Version: 2, DeclaredAt: at(3000)})
	assert.Equal(t, d.View().DeclaredVersion("m").DeclaredAt, at(-5500))
	d.MergeDeclaration("m", directory.Declaration{Version: 2, DeclaredAt: at(300)})
	assert.Equal(t, d.View().DeclaredVersion("m").DeclaredAt, at(0), "a time within the delay of reports")
	d.MergeDeclaration("m", directory.Declaration{Version: 2, DeclaredAt: at(-2000)})
	assert.Equal(t, d.View().DeclaredVersion("m").DeclaredAt, at(-2000))
}

// Guards against requests to an endpoint that leaves: the store may come back from an
// older copy, and pages of a range are no snapshot, so that an older record of the same
// incarnation follows a newer one.
func TestDrainingIncarnationNeverBecomesReadyAgain(t *testing.T) {
	d := newDirectory()
	ready := directory.Endpoint{ID: "e", Service: "s", Address: "10.0.0.1:80", Slots: 4, StartedUnixMS: 7}
	draining := ready
	draining.Draining = true
	d.PutEndpoint(&ready)
	d.PutEndpoint(&draining)
	d.PutEndpoint(&ready)
	assert.Assert(t, d.View().Endpoints["e"].Draining)

	d.DropEndpoint(at(5000), "e")
	assert.Assert(t, d.View().Endpoints["e"] == nil)
	d.PutEndpoint(&ready)
	assert.Assert(t, d.View().Endpoints["e"].Draining, "it was draining before its record expired")

	restarted := ready
	restarted.StartedUnixMS = 8
	d.PutEndpoint(&restarted)
	assert.Assert(t, !d.View().Endpoints["e"].Draining, "a new incarnation may keep the ID")
}
