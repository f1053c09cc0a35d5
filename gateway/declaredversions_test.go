package gateway

import (
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/directory"
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
	d.SetDeclaredVersion(start, "m", 2, false)
	d.SetDeclaredVersion(start.Add(3*time.Second), "m", 3, false)
	d.SetDeclaredVersion(start.Add(6*time.Second), "m", 4, false)
	assert.Equal(t, minVersionAt(t, d, start.Add(7*time.Second)), uint64(0))
	assert.Equal(t, minVersionAt(t, d, start.Add(8*time.Second)), uint64(2))
	assert.Equal(t, minVersionAt(t, d, start.Add(11*time.Second)), uint64(3))
	assert.Equal(t, minVersionAt(t, d, start.Add(14*time.Second)), uint64(4))
}
