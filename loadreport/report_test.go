package loadreport_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/loadreport"
)

func TestReportRoundTrip(t *testing.T) {
	for _, r := range []loadreport.Report{
		{ClosesIn: loadreport.UnknownDuration},
		{
			Running: 16, Waiting: 3, Slowdown: 2.5, Closed: true, LoadedVersion: 7, Entries: 5, DeclaredVersion: 8,
			Start: loadreport.StartAge{Known: true, Seen: true, Age: 1200 * time.Millisecond}, Settled: true, ClosesIn: 300 * time.Millisecond, Demand: 40,
			Echo: loadreport.Echo{Known: true, Timestamp: 65_000, AgentDelay: 150 * time.Millisecond},
		},
	} {
		decoded, err := loadreport.DecodeReport(r.Encode())
		assert.NilError(t, err)
		assert.Equal(t, decoded, r)
	}
}

// Guards against an endpoint that started 40 s ago and is cold again, as its age wraps or is
// cut to the range.
func TestAgeBeyondTheEncodingIsNotReportedAsYounger(t *testing.T) {
	const age = 40 * time.Second
	start := loadreport.StartAge{Known: true, Seen: true, Age: age}
	decoded, err := loadreport.DecodeReport(loadreport.Report{DeclaredVersion: 2, Start: start}.Encode())
	assert.NilError(t, err)
	assert.Assert(t, decoded.Start.Age < 0 || decoded.Start.Age > age-time.Second, "decoded as %v", decoded.Start.Age)
}

// Guards against an end of the coldness that is early: an age that is rounded up would make the
// endpoint appear to have started before it did.
func TestAgeIsRoundedDown(t *testing.T) {
	start := loadreport.StartAge{Known: true, Age: 1299 * time.Millisecond}
	decoded, err := loadreport.DecodeReport(loadreport.Report{Start: start}.Encode())
	assert.NilError(t, err)
	assert.Equal(t, decoded.Start, loadreport.StartAge{Known: true, Age: 1200 * time.Millisecond})
}

// Guards against reports of builds before StartAge, whose byte is the age of the declared
// version and whose agents are not settled, and against a length that they reject.
func TestReportsOfOtherBuildsAreUnderstood(t *testing.T) {
	datagram := loadreport.Report{Running: 3, Entries: 11}.Encode()
	assert.Equal(t, len(datagram), 32)
	datagram[16] = 5 // 0.5 s since the declaration.
	decoded, err := loadreport.DecodeReport(datagram)
	assert.NilError(t, err)
	assert.Equal(t, decoded, loadreport.Report{Running: 3, Entries: 11})
}

func TestOnlyANewStartIsNews(t *testing.T) {
	last := loadreport.StartAge{Known: true, Seen: true, Age: time.Second}
	assert.Assert(t, loadreport.StartAge{Known: true, Seen: true, Age: time.Minute}.Follows(last))
	assert.Assert(t, loadreport.StartAge{}.Follows(loadreport.StartAge{}))
	assert.Assert(t, !loadreport.StartAge{Known: true, Seen: true, Age: time.Millisecond}.Follows(last))
	assert.Assert(t, !loadreport.StartAge{Known: true, Age: time.Minute}.Follows(last))
	assert.Assert(t, !loadreport.StartAge{}.Follows(last))
}

func TestSubscriptionRoundTrip(t *testing.T) {
	decoded, err := loadreport.DecodeSubscription(loadreport.Subscription{Demand: 70_000, Timestamp: 9}.Encode())
	assert.NilError(t, err)
	assert.Equal(t, decoded, loadreport.Subscription{Demand: 65_535, Timestamp: 9})
}

func TestRoundTripExcludesDelayAtAgent(t *testing.T) {
	const start = 64 * time.Second // The timestamp wraps during the round trip.
	echo := loadreport.Echo{Known: true, Timestamp: loadreport.TimestampAt(start), AgentDelay: 1900 * time.Millisecond}
	assert.Equal(t, echo.RoundTrip(start+2*time.Second), 100*time.Millisecond)
	assert.Equal(t, echo.RoundTrip(start+1899*time.Millisecond), time.Duration(0), "a negative round trip counts as 0")
}

func TestMalformedDatagramsAreRejected(t *testing.T) {
	var formatErr *loadreport.FormatError
	for _, data := range [][]byte{nil, {1}, loadreport.Subscription{}.Encode(), make([]byte, 64)} {
		_, err := loadreport.DecodeReport(data)
		assert.Assert(t, errors.As(err, &formatErr))
	}
	_, err := loadreport.DecodeSubscription(loadreport.Report{}.Encode())
	assert.Assert(t, errors.As(err, &formatErr))
}

func FuzzDecode(f *testing.F) {
	f.Add(loadreport.Report{Running: 1}.Encode())
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = loadreport.DecodeReport(data)
		_, _ = loadreport.DecodeSubscription(data)
		_, _ = loadreport.DecodeAgentConfig(testFleetKey, data)
		_, _ = loadreport.DecodeVersionAges(data)
	})
}
