package gateway

import (
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/internal/versiontest"
)

// minVersionAt returns the oldest version on which a gateway with a VersionBound of
// 8 s starts requests, given the declared versions of a directory.
func minVersionAt(t *testing.T, d *directory.Directory, now time.Time) uint64 {
	t.Helper()
	f := newFixture(t)
	view := *d.View()
	view.Document = &directory.Document{Services: map[string]*directory.Service{"lm": {Name: "lm", Model: "m", Engine: &directory.Engine{}}}}
	return f.gateway.minVersion(now, &view, "lm", versionSafetyMargin)
}

// A third version that is declared within the bound of the first must not allow older
// versions for longer.
func TestThirdDeclaredVersionKeepsTheBoundOfTheFirst(t *testing.T) {
	start := time.Now()
	d := directory.New(slog.New(slog.DiscardHandler))
	d.SetDeclaration("m", versiontest.Declared(2, start))
	d.SetDeclaration("m", versiontest.Declared(3, start.Add(3*time.Second)))
	d.SetDeclaration("m", versiontest.Declared(4, start.Add(6*time.Second)))
	assert.Equal(t, minVersionAt(t, d, start.Add(7*time.Second)), uint64(directory.FirstVersion))
	assert.Equal(t, minVersionAt(t, d, start.Add(8*time.Second)), uint64(2))
	assert.Equal(t, minVersionAt(t, d, start.Add(11*time.Second)), uint64(3))
	assert.Equal(t, minVersionAt(t, d, start.Add(14*time.Second)), uint64(4))
}

// A process that was paused or cut off learns two versions late. The reported age of
// the older one has to count although a newer one is declared.
func TestReportedAgeOfSupersededVersionCounts(t *testing.T) {
	start := time.Now()
	learntLate := start.Add(5 * time.Second)
	for name, learn := range map[string]func(*directory.Directory){
		"both from the store": func(d *directory.Directory) {
			d.SetDeclaration("m", versiontest.Declared(2, learntLate))
			d.SetDeclaration("m", versiontest.Declared(3, learntLate))
		},
		"the newer one from the first read": func(d *directory.Directory) {
			d.SetInitialVersion(learntLate, "m", 3, 0)
		},
		"the newer one from a report": func(d *directory.Directory) {
			d.MergeDeclaration("m", versiontest.Declared(3, start.Add(4*time.Second)))
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := directory.New(slog.New(slog.DiscardHandler))
			learn(d)
			d.MergeDeclaration("m", versiontest.Declared(3, start.Add(4*time.Second)))
			d.MergeDeclaration("m", versiontest.Declared(2, start))
			assert.Assert(t, minVersionAt(t, d, start.Add(7*time.Second)) < 2)
			assert.Equal(t, minVersionAt(t, d, start.Add(8*time.Second)), uint64(2))
			assert.Equal(t, minVersionAt(t, d, start.Add(12*time.Second)), uint64(3))
		})
	}
}

// Two declarations in quick succession must not allow a version again that was forbidden
// before them, such as that of an engine which fell behind.
func TestMinVersionNeverFalls(t *testing.T) {
	start := time.Now()
	d := directory.New(slog.New(slog.DiscardHandler))
	d.SetDeclaration("m", versiontest.Declared(2, start.Add(-time.Hour)))
	d.SetDeclaration("m", versiontest.Declared(3, start))
	assert.Equal(t, minVersionAt(t, d, start), uint64(2))
	d.SetDeclaration("m", versiontest.Declared(4, start.Add(time.Second)))
	assert.Equal(t, minVersionAt(t, d, start.Add(time.Second)), uint64(2))
}
