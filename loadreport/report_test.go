package loadreport_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/loadreport"
)

func TestReportSurvivesItsDatagram(t *testing.T) {
	for _, r := range []loadreport.Report{
		{Age: loadreport.Unknown, ClosesIn: loadreport.Unknown},
		{
			Running: 16, Waiting: 3, Pace: 2.5, Closed: true, Held: 7, Entries: 5, Declared: 8,
			Age: 1200 * time.Millisecond, ClosesIn: 300 * time.Millisecond, Demand: 40,
			Echo: loadreport.Echo{Known: true, Stamp: 65_000, Kept: 150 * time.Millisecond},
		},
	} {
		got, err := loadreport.Decode(r.Encode())
		assert.NilError(t, err)
		assert.Equal(t, got, r)
	}
}

func TestAskSurvivesItsDatagram(t *testing.T) {
	got, err := loadreport.DecodeAsk(loadreport.Ask{Demand: 70_000, Stamp: 9}.Encode())
	assert.NilError(t, err)
	assert.Equal(t, got, loadreport.Ask{Demand: 65_535, Stamp: 9})
}

func TestRoundTripIsTheTimeThatTheAgentDidNotKeepTheAsk(t *testing.T) {
	const start = 64 * time.Second // The stamp wraps on the way.
	echo := loadreport.Echo{Known: true, Stamp: loadreport.StampAt(start), Kept: 1900 * time.Millisecond}
	assert.Equal(t, echo.RoundTrip(start+2*time.Second), 100*time.Millisecond)
	assert.Equal(t, echo.RoundTrip(start+1899*time.Millisecond), time.Duration(0), "rounded")
}

func TestOtherDatagramsAreRefused(t *testing.T) {
	var format *loadreport.FormatError
	for _, data := range [][]byte{nil, {1}, loadreport.Ask{}.Encode(), make([]byte, 64)} {
		_, err := loadreport.Decode(data)
		assert.Assert(t, errors.As(err, &format))
	}
	_, err := loadreport.DecodeAsk(loadreport.Report{}.Encode())
	assert.Assert(t, errors.As(err, &format))
}

func FuzzDecode(f *testing.F) {
	f.Add(loadreport.Report{Running: 1}.Encode())
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = loadreport.Decode(data)
		_, _ = loadreport.DecodeAsk(data)
		_, _ = loadreport.DecodeBrief(briefKey, data)
	})
}
