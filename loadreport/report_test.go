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
		{Age: loadreport.Unknown, ClosesIn: loadreport.Unknown},
		{
			Running: 16, Waiting: 3, Pace: 2.5, Closed: true, Held: 7, Entries: 5, Declared: 8,
			Age: 1200 * time.Millisecond, ClosesIn: 300 * time.Millisecond, Demand: 40,
			Echo: loadreport.Echo{Known: true, Stamp: 65_000, Kept: 150 * time.Millisecond},
		},
	} {
		got, err := loadreport.DecodeReport(r.Encode())
		assert.NilError(t, err)
		assert.Equal(t, got, r)
	}
}

func TestSubscriptionRoundTrip(t *testing.T) {
	got, err := loadreport.DecodeAsk(loadreport.Ask{Demand: 70_000, Stamp: 9}.Encode())
	assert.NilError(t, err)
	assert.Equal(t, got, loadreport.Ask{Demand: 65_535, Stamp: 9})
}

func TestRoundTripExcludesDelayAtAgent(t *testing.T) {
	const start = 64 * time.Second // The timestamp wraps during the round trip.
	echo := loadreport.Echo{Known: true, Stamp: loadreport.TimestampAt(start), Kept: 1900 * time.Millisecond}
	assert.Equal(t, echo.RoundTrip(start+2*time.Second), 100*time.Millisecond)
	assert.Equal(t, echo.RoundTrip(start+1899*time.Millisecond), time.Duration(0), "a negative round trip counts as 0")
}

func TestMalformedDatagramsAreRejected(t *testing.T) {
	var formatErr *loadreport.FormatError
	for _, data := range [][]byte{nil, {1}, loadreport.Ask{}.Encode(), make([]byte, 64)} {
		_, err := loadreport.DecodeReport(data)
		assert.Assert(t, errors.As(err, &formatErr))
	}
	_, err := loadreport.DecodeAsk(loadreport.Report{}.Encode())
	assert.Assert(t, errors.As(err, &formatErr))
}

func FuzzDecode(f *testing.F) {
	f.Add(loadreport.Report{Running: 1}.Encode())
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = loadreport.DecodeReport(data)
		_, _ = loadreport.DecodeAsk(data)
		_, _ = loadreport.DecodeBrief(testFleetKey, data)
	})
}
