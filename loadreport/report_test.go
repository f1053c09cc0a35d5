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
		{DeclaredAge: loadreport.UnknownDuration, ClosesIn: loadreport.UnknownDuration},
		{
			Running: 16, Waiting: 3, Slowdown: 2.5, Closed: true, LoadedVersion: 7, Entries: 5, DeclaredVersion: 8,
			DeclaredAge: 1200 * time.Millisecond, ClosesIn: 300 * time.Millisecond, Demand: 40,
			Echo: loadreport.Echo{Known: true, Timestamp: 65_000, AgentDelay: 150 * time.Millisecond},
		},
	} {
		decoded, err := loadreport.DecodeReport(r.Encode())
		assert.NilError(t, err)
		assert.Equal(t, decoded, r)
	}
}

// With a version bound of a minute, an entry that starts would take a version declared
// 40 s ago for younger, and allow older ones for longer.
func TestAgeBeyondTheEncodingIsNotReportedAsYounger(t *testing.T) {
	const age = 40 * time.Second
	decoded, err := loadreport.DecodeReport(loadreport.Report{DeclaredVersion: 2, DeclaredAge: age}.Encode())
	assert.NilError(t, err)
	assert.Assert(t, decoded.DeclaredAge < 0 || decoded.DeclaredAge > age-time.Second, "decoded as %v", decoded.DeclaredAge)
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
