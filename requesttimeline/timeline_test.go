package requesttimeline_test

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/snipestep/snipestep/requesttimeline"
)

const entryLog = `{"time":"2026-01-01T00:00:02Z","level":"INFO","msg":"attempt failed","instance":"edge-1","request":"r1","endpoint":"i-1","begun":true,"error":"EOF"}
not a record
   12.5 edge-1 {"time":"2026-01-01T00:00:03Z","level":"INFO","msg":"request ended","instance":"edge-1","request":"r1","outcome":"refused","status":502,"arrivals":2}
{"time":"2026-01-01T00:00:02.5Z","msg":"attempt failed","instance":"edge-1","request":"r2","endpoint":"i-1"}
{"time":"2026-01-01T00:00:01Z","msg":"endpoint gone","instance":"edge-1","endpoint":"i-1"}
{"time":"2026-01-01T00:01:00Z","msg":"endpoint gone","instance":"edge-1","endpoint":"i-1"}
`

const otherEntryLog = `{"time":"2026-01-01T00:00:01.5Z","msg":"attempt failed","instance":"edge-2","request":"r1","endpoint":"i-0"}
`

func TestTimelineIsSortedByTime(t *testing.T) {
	timeline, err := requesttimeline.ReadTimeline("r1", strings.NewReader(entryLog), strings.NewReader(otherEntryLog))
	assert.NilError(t, err)
	var out bytes.Buffer
	assert.NilError(t, timeline.Write(&out))
	golden.Assert(t, out.String(), "story.golden")
}

func TestUnknownRequestIsReported(t *testing.T) {
	timeline, err := requesttimeline.ReadTimeline("none", strings.NewReader(entryLog))
	assert.NilError(t, err)
	assert.Equal(t, len(timeline.Gaps()), 2)
}

const killedProcessLog = `{"time":"2026-01-01T00:00:01Z","msg":"started","instance":"edge-1"}
{"time":"2026-01-01T00:00:02Z","msg":"endpoint listed","instance":"edge-1"}
{"time":"2026-01-01T00:00:03Z","msg":"started","instance":"edge-1"}
{"time":"2026-01-01T00:00:04Z","msg":"ended","instance":"edge-1"}
{"time":"2026-01-01T00:00:05Z","msg":"started","instance":"edge-1"}
`

func TestKilledProcessIsDistinguishedFromCleanExit(t *testing.T) {
	timeline, err := requesttimeline.ReadTimeline("lost", strings.NewReader(killedProcessLog))
	assert.NilError(t, err)
	assert.Equal(t, len(timeline.Restarts), 1)
	assert.Equal(t, timeline.Restarts[0].Last.Second(), 2)
	assert.Equal(t, timeline.Restarts[0].Again.Second(), 3)
	var out bytes.Buffer
	assert.NilError(t, timeline.Write(&out))
	assert.Assert(t, strings.Contains(out.String(), "edge-1"), out.String())
}

func FuzzReadTimeline(f *testing.F) {
	f.Add(entryLog)
	f.Fuzz(func(t *testing.T, log string) {
		timeline, err := requesttimeline.ReadTimeline("r1", strings.NewReader(log))
		if err != nil {
			return
		}
		if err := timeline.Write(&bytes.Buffer{}); err != nil {
			t.Fatal(err)
		}
	})
}
