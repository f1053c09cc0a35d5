package directory_test

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/internal/versiontest"
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
	d.SetDeclaration("m", versiontest.Declared(2, at(0)))
	d.SetDeclaration("m", versiontest.Declared(3, at(100)))
	d.SetDeclaration("m", versiontest.Declared(2, at(200)))
	declared := d.View().DeclaredVersion("m")
	assert.Equal(t, declared.Version, uint64(3))
	assert.Equal(t, declared.Previous(), versiontest.Declared(2, at(0)))
}

func TestEstimatedDeclarationTimeIsReplacedByReportedOne(t *testing.T) {
	d := newDirectory()
	d.SetInitialVersion(at(0), "m", 2, 5*time.Second)
	d.MergeDeclaration("m", versiontest.Declared(1, at(0)))
	assert.Equal(t, d.View().DeclaredVersion("m").CountsFrom(), at(-5000))
	d.MergeDeclaration("m", versiontest.Declared(2, at(-1000)))
	assert.Equal(t, d.View().DeclaredVersion("m").CountsFrom(), at(-1000))
	assert.Equal(t, d.View().DeclaredVersion("m").ScheduledFrom(), at(-1000))
}

// A large document can delay the watch of one process, so that it learns of a
// version later than others.
func TestEarliestReportedDeclarationTimeWins(t *testing.T) {
	d := newDirectory()
	d.SetDeclaration("m", versiontest.Declared(2, at(0)))
	d.MergeDeclaration("m", versiontest.Declared(2, at(-15)))
	assert.Equal(t, d.View().DeclaredVersion("m").NotAfter, at(0), "difference is within the variation of the delays of reports")
	d.MergeDeclaration("m", versiontest.Declared(2, at(-900)))
	assert.Equal(t, d.View().DeclaredVersion("m").NotAfter, at(-900))
	d.MergeDeclaration("m", versiontest.Declared(2, at(0)))
	assert.Equal(t, d.View().DeclaredVersion("m").NotAfter, at(-900), "the earliest reported time counts")
	d.MergeDeclaration("m", versiontest.Declared(3, at(500)))
	assert.Equal(t, d.View().DeclaredVersion("m").Version, uint64(3))
	d.SetDeclaration("m", versiontest.Declared(3, at(1500)))
	assert.Equal(t, d.View().DeclaredVersion("m").NotAfter, at(500))
	d.MergeDeclaration("other", versiontest.Declared(1, at(0)))
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
	d.SetDeclaration("m", versiontest.Declared(4, at(3000)))
	d.MergeDeclaration("m", versiontest.Declared(2, at(0)))
	d.MergeDeclaration("m", directory.Declaration{Version: 3, NotAfter: at(2500)})
	d.MergeDeclaration("m", versiontest.Declared(3, at(2000)))
	d.MergeDeclaration("m", directory.Declaration{Version: 2, NotBefore: at(-1000), NotAfter: at(1000)})
	d.MergeDeclaration("m", versiontest.Declared(1, at(0)))
	assert.DeepEqual(t, d.View().DeclaredVersion("m"), directory.DeclaredVersion{
		Declaration: versiontest.Declared(4, at(3000)),
		Superseded:  []directory.Declaration{versiontest.Declared(3, at(2000)), versiontest.Declared(2, at(0))},
	})
}

// Guards against a version from the store that is dropped because reports named a newer
// one first.
func TestStoreAddsAVersionOlderThanTheReportedOne(t *testing.T) {
	d := newDirectory()
	d.SetDeclaration("m", versiontest.Declared(2, at(0)))
	d.MergeDeclaration("m", versiontest.Declared(4, at(2000)))
	d.SetDeclaration("m", versiontest.Declared(3, at(2100)))
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
	d.SetDeclaration("m", versiontest.Declared(2, at(-60_000)))
	required := uint64(0)
	for second := range 50 {
		now := at(1000 * second)
		d.SetDeclaration("m", versiontest.Declared(uint64(3+second), now))
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
		d.SetDeclaration("m", versiontest.Declared(uint64(version), at(1000*version)))
	}
	views := 0
	d.Subscribe(func(*directory.View) { views++ })
	for _, dropped := range []uint64{3, 5} {
		d.MergeDeclaration("m", versiontest.Declared(dropped, at(0)))
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

// Guards against endpoints that stay in use after their removal because a watch was cut, and against
// the loss of those whose records expired while the store was away.
func TestOnlyAnOutageOfASecondKeepsMissingEndpoints(t *testing.T) {
	for downMS, kept := range map[int]bool{100: false, 999: false, 1000: true, 5000: true} {
		d := newDirectory()
		d.PutEndpoint(&directory.Endpoint{ID: "a"})
		d.SetStoreUp(at(0), false, errStoreUnavailable)
		d.SetStoreUp(at(downMS), true, nil)
		d.DropEndpoint(at(downMS+1999), "a")
		assert.Equal(t, d.View().Endpoints["a"] != nil, kept, "%d ms", downMS)
	}
}

// Guards against the loss of endpoints whose records an older copy of the store lacks, if it
// returned after less than a second.
func TestStoreThatIsRestoredWithinASecondKeepsMissingEndpoints(t *testing.T) {
	d := newDirectory()
	d.PutEndpoint(&directory.Endpoint{ID: "a"})
	d.SetStoreUp(at(0), false, errStoreUnavailable)
	d.RestartMissingGrace(at(400))
	d.DropEndpoint(at(400), "a")
	d.SetStoreUp(at(500), true, nil)
	d.ExpireMissing(at(2300))
	assert.Assert(t, d.View().Endpoints["a"] != nil)
	d.ExpireMissing(at(2400))
	assert.Assert(t, d.View().Endpoints["a"] == nil)
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

// Guards against a process that started after a declaration and holds on to its guess,
// although others know when the version was declared.
func TestReportedBoundReplacesTheGuessOfAStart(t *testing.T) {
	d := newDirectory()
	d.SetInitialVersion(at(0), "m", 2, 5*time.Second)
	d.MergeDeclaration("m", directory.Declaration{Version: 2, NotBefore: at(-3000), NotAfter: at(-1000)})
	d.MergeDeclaration("m", directory.Declaration{Version: 2, NotAfter: at(-500)})
	declared := d.View().DeclaredVersion("m")
	assert.Equal(t, declared.CountsFrom(), at(-3000))
	assert.Equal(t, declared.ScheduledFrom(), at(-1000))
}

// Guards against a process that learnt of a version late, while it was paused, and makes
// it younger at one that had read it before.
func TestTimeAfterTheFirstReadIsNotTaken(t *testing.T) {
	d := newDirectory()
	d.SetInitialVersion(at(0), "m", 2, 5500*time.Millisecond)
	d.MergeDeclaration("m", directory.Declaration{Version: 2, NotAfter: at(3000)})
	d.MergeDeclaration("m", versiontest.Declared(2, at(3000)))
	assert.Equal(t, d.View().DeclaredVersion("m").CountsFrom(), at(-5500))
	d.MergeDeclaration("m", versiontest.Declared(2, at(300)))
	assert.Equal(t, d.View().DeclaredVersion("m").CountsFrom(), at(0), "a time within the delay of reports")
	d.MergeDeclaration("m", versiontest.Declared(2, at(-2000)))
	assert.Equal(t, d.View().DeclaredVersion("m").CountsFrom(), at(-2000))
}

// Guards against requests that begin on an outdated version because a time at which
// another process learnt of the new one replaces an earlier one.
func TestLaterTimeOfADeclarationDoesNotReplaceAnEarlierOne(t *testing.T) {
	for name, learnLater := range map[string]func(*directory.Directory){
		"from a report":  func(d *directory.Directory) { d.MergeDeclaration("m", versiontest.Declared(2, at(900))) },
		"from the store": func(d *directory.Directory) { d.SetDeclaration("m", versiontest.Declared(2, at(900))) },
	} {
		t.Run(name, func(t *testing.T) {
			d := newDirectory()
			d.MergeDeclaration("m", directory.Declaration{Version: 2, NotAfter: at(0)})
			learnLater(d)
			assert.Equal(t, d.View().DeclaredVersion("m").Required(at(8000), 8*time.Second), uint64(2))
		})
	}
}

// Guards against refusals of requests after an outage of the store, in which the bound of
// a version does not count, and against a version that looks younger because one process
// was cut off from a store that others reached.
func TestOutageOfTheStoreDoesNotCountUnlessAnotherProcessReadTheVersion(t *testing.T) {
	d := newDirectory()
	d.SetDeclaration("m", directory.Declaration{Version: 2, NotBefore: at(0), StoreAwayUntil: at(9000), NotAfter: at(9500)})
	assert.Equal(t, d.View().DeclaredVersion("m").CountsFrom(), at(9000))
	d.MergeDeclaration("m", directory.Declaration{Version: 2, NotBefore: at(3000), NotAfter: at(4000)})
	assert.Equal(t, d.View().DeclaredVersion("m").CountsFrom(), at(4000))
}

// Guards against a version that looks younger than the guess of a start because a late
// report arrived before the first read of the store.
func TestGuessOfAStartDoesNotDependOnTheOrderOfReports(t *testing.T) {
	late := directory.Declaration{Version: 2, NotAfter: at(-100)}
	readFirst, reportFirst := newDirectory(), newDirectory()
	readFirst.SetInitialVersion(at(0), "m", 2, 5500*time.Millisecond)
	readFirst.MergeDeclaration("m", late)
	reportFirst.MergeDeclaration("m", late)
	reportFirst.SetInitialVersion(at(0), "m", 2, 5500*time.Millisecond)
	assert.Equal(t, readFirst.View().DeclaredVersion("m").CountsFrom(), at(-5500))
	assert.Equal(t, reportFirst.View().DeclaredVersion("m").CountsFrom(), at(-5500))
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

// Guards against a cost that grows with the square of the endpoint list: each endpoint of a
// list that is read as a whole was published with a view of its own.
func TestListIsPublishedWithOneView(t *testing.T) {
	d := newDirectory()
	views := 0
	d.Subscribe(func(*directory.View) { views++ })
	var list []*directory.Endpoint
	for i := range 100 {
		list = append(list, &directory.Endpoint{ID: fmt.Sprint("i-", i), Address: fmt.Sprintf("10.0.0.%d:80", i)})
	}
	d.PutEndpoints(list)
	assert.Equal(t, views, 2, "the first view, and that with the list")
	assert.Equal(t, len(d.View().LatestEndpoints()), len(list))
	d.PutEndpoints(list)
	assert.Equal(t, views, 2, "nothing has changed")
	changed := *list[0]
	changed.Draining = true
	d.PutEndpoint(&changed)
	assert.Assert(t, d.View().LatestEndpoints()[0].Draining, "the sorted list is that of the view")
}
