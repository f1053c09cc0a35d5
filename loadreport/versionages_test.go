package loadreport_test

import (
	"errors"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/internal/versiontest"
	"github.com/snipestep/snipestep/loadreport"
)

const testBound = 8 * time.Second

var testNow = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// declaredAgo returns the declared version whose declarations are the given ages old,
// the newest first, with consecutive versions down to 2.
func declaredAgo(ages ...time.Duration) directory.DeclaredVersion {
	var all []directory.Declaration
	for i, age := range ages {
		all = append(all, versiontest.Declared(uint64(1+len(ages)-i), testNow.Add(-age)))
	}
	return directory.DeclaredVersion{Declaration: all[0], Superseded: all[1:]}
}

func TestVersionAgesRoundTrip(t *testing.T) {
	stamp := loadreport.ClockStamp{
		Sent: loadreport.ClockReading{Run: 7, SinceStart: 1 << 40}, Echo: loadreport.ClockReading{Run: 9, SinceStart: 3}, EchoDelay: 5 * time.Millisecond,
	}
	for _, ages := range []loadreport.VersionAges{
		nil,
		{{Version: 3, Min: 1234 * time.Millisecond, Max: 1300 * time.Millisecond}, {Version: 2, Min: 90 * time.Minute, Max: loadreport.UnknownDuration}},
	} {
		decoded, err := loadreport.DecodeVersionAges(ages.Encode("m", stamp))
		assert.NilError(t, err)
		assert.Equal(t, decoded.Stamp, stamp)
		got, ok := decoded.Ages("m")
		assert.Assert(t, ok)
		assert.DeepEqual(t, got, ages)
	}
}

func TestVersionAgesReachBackToTheFirstBeyondTheBound(t *testing.T) {
	ages := loadreport.VersionAgesAt(testNow, declaredAgo(time.Second, 4*time.Second, 9*time.Second, 30*time.Second), testBound)
	assert.DeepEqual(t, ages, loadreport.VersionAges{
		{Version: 5, Min: time.Second, Max: time.Second}, {Version: 4, Min: 4 * time.Second, Max: 4 * time.Second}, {Version: 3, Min: 9 * time.Second, Max: 9 * time.Second},
	})
	assert.Assert(t, ages.Pending(testBound))
	settled := loadreport.VersionAgesAt(testNow, declaredAgo(10*time.Second, 12*time.Second), testBound)
	assert.Equal(t, len(settled), 1)
	assert.Assert(t, !settled.Pending(testBound))
	assert.Equal(t, len(loadreport.VersionAgesAt(testNow, directory.DeclaredVersion{}, testBound)), 0)
}

func TestLongestVersionAgesFitADatagram(t *testing.T) {
	var ages loadreport.VersionAges
	for version := range uint64(directory.MaxSuperseded + 10) {
		ages = append(ages, loadreport.VersionAge{Version: 100 - version, Min: 2000 * time.Hour, Max: 2000 * time.Hour})
	}
	data := ages.Encode("m", loadreport.ClockStamp{})
	assert.Assert(t, len(data) <= loadreport.MaxDatagramBytes)
	decoded, err := loadreport.DecodeVersionAges(data)
	assert.NilError(t, err)
	got, _ := decoded.Ages("m")
	assert.Equal(t, len(got), directory.MaxSuperseded+1)
	assert.Assert(t, got[0].Min > time.Hour, "the longest age is reported")
}

// Guards against versions of another model, whose instance had the address before: they
// would spread to all processes and never be forgotten.
func TestVersionAgesOfAnotherModelAreNotTaken(t *testing.T) {
	decoded, err := loadreport.DecodeVersionAges(loadreport.VersionAges{{Version: 40, Min: time.Second, Max: time.Second}}.Encode("other", loadreport.ClockStamp{}))
	assert.NilError(t, err)
	_, ok := decoded.Ages("m")
	assert.Assert(t, !ok)
}

// An older build decodes each datagram as a report or subscription. It must ignore
// this one.
func TestVersionAgesAreNoOtherDatagram(t *testing.T) {
	var formatErr *loadreport.FormatError
	for count := range directory.MaxSuperseded + 2 {
		data := make(loadreport.VersionAges, count).Encode("m", loadreport.ClockStamp{})
		_, err := loadreport.DecodeReport(data)
		assert.Assert(t, errors.As(err, &formatErr))
		_, err = loadreport.DecodeSubscription(data)
		assert.Assert(t, errors.As(err, &formatErr))
		assert.Assert(t, !loadreport.IsAgentConfig(data))
	}
}

func TestMalformedVersionAgesAreRejected(t *testing.T) {
	var formatErr *loadreport.FormatError
	tooLong := append(make(loadreport.VersionAges, directory.MaxSuperseded+1).Encode("m", loadreport.ClockStamp{}), make([]byte, 12)...)
	for _, data := range [][]byte{nil, {6, 0}, append([]byte{6}, make([]byte, 37)...), loadreport.Report{}.Encode(), tooLong} {
		_, err := loadreport.DecodeVersionAges(data)
		assert.Assert(t, errors.As(err, &formatErr))
	}
}

// Guards against a version that looks younger than it can be because a report of its age
// waited on the network or in a process that was paused.
func TestDelayedVersionAgesMakeNoVersionYounger(t *testing.T) {
	const declaredAgo, delay = 3 * time.Second, 5 * time.Second
	entryAddr, agentAddr := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.2:1")
	declaredAt := testNow.Add(-declaredAgo)
	entry, agent := loadreport.NewClockExchange(testNow.Add(-time.Minute)), loadreport.NewClockExchange(testNow.Add(-time.Hour))
	agent.Receive(testNow, entryAddr, entry.Stamp(testNow, agentAddr))
	sentAt := testNow.Add(700 * time.Millisecond)
	age := sentAt.Sub(declaredAt)
	datagram := loadreport.VersionAges{{Version: 2, Min: age, Max: age}}.Encode("m", agent.Stamp(sentAt, entryAddr))

	arrivedAt := sentAt.Add(delay)
	decoded, err := loadreport.DecodeVersionAges(datagram)
	assert.NilError(t, err)
	ages, _ := decoded.Ages("m")
	d := directory.New(slog.New(slog.DiscardHandler))
	sentNotBefore, _ := entry.Receive(arrivedAt, agentAddr, decoded.Stamp)
	ages.MergeInto(d, arrivedAt, sentNotBefore, "m")
	assert.Equal(t, d.View().DeclaredVersion("m").CountsFrom(), declaredAt)
}

// Guards against an echo of a process that had the address before, whose clock had
// another start.
func TestEchoOfAnEarlierRunTellsNothing(t *testing.T) {
	entryAddr, agentAddr := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.2:1")
	before, agent := loadreport.NewClockExchange(testNow), loadreport.NewClockExchange(testNow)
	agent.Receive(testNow, entryAddr, before.Stamp(testNow, agentAddr))
	restarted := loadreport.NewClockExchange(testNow.Add(time.Second))
	sentNotBefore, started := restarted.Receive(testNow.Add(2*time.Second), agentAddr, agent.Stamp(testNow.Add(time.Second), entryAddr))
	assert.Assert(t, sentNotBefore.IsZero())
	assert.Assert(t, started)
}
