package directory_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/directory"
)

const outageBound = 7500 * time.Millisecond

// declaredInOutage is version 2 as a process knows it that saw an outage from 0 s to 9.5 s.
var declaredInOutage = directory.Declaration{Version: 2, NotBefore: at(0), StoreAwayUntil: at(9400), NotAfter: at(9500)}

// reported is what loadreport tells other processes of a declaration.
func reported(d directory.Declaration) directory.Declaration {
	return directory.Declaration{Version: d.Version, NotBefore: d.NotBefore, NotAfter: d.NotAfter}
}

// Guards against a moment in which an entry refuses all requests and cancels queued ones,
// because after an outage a report arrives before the entry's own read of the store.
func TestReportAfterAnOutageDoesNotCountIt(t *testing.T) {
	d := newDirectory()
	d.SetStoreContact(at(0), at(9400))
	d.MergeDeclaration("m", reported(declaredInOutage))
	first := d.View().DeclaredVersion("m").Required(at(9520), outageBound)
	d.SetDeclaration("m", directory.Declaration{Version: 2, NotBefore: at(0), StoreAwayUntil: at(9450), NotAfter: at(9700)})
	assert.Equal(t, d.View().DeclaredVersion("m").Required(at(9700), outageBound), uint64(1))
	assert.Equal(t, first, uint64(1), "the required version rose at the report and fell at the read")
}

// Guards against a version that looks younger because the process heard of it from a late
// report first, although it has an answer of the store without the version.
func TestVersionThatAReportNamesFirstCountsFromTheLastAnswer(t *testing.T) {
	d := newDirectory()
	d.SetStoreContact(at(0), time.Time{})
	d.MergeDeclaration("m", directory.Declaration{Version: 3, NotAfter: at(2000)})
	assert.Equal(t, d.View().DeclaredVersion("m").CountsFrom(), at(0))
	d.MergeDeclaration("m", directory.Declaration{Version: 2, NotAfter: at(1500)})
	assert.Assert(t, d.View().DeclaredVersion("m").Previous().NotBefore.IsZero(), "an answer says nothing of superseded versions")
}
