package main

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const output = `   -1.0000 edge-a-1 {"time":"2026-01-01T00:00:09Z","msg":"started","instance":"edge-a-1"}
   2.0000 edge-a-1 {"time":"2026-01-01T00:00:12Z","msg":"request ended","instance":"edge-a-1","request":"aa01","outcome":"refused","reason":"no place in time"}
   3.0000 edge-a-1 {"time":"2026-01-01T00:00:13Z","msg":"started","instance":"edge-a-1"}
not served, last try '503': 2; the first:
    1.900 s  request aa01 (note, a.example/b/) sent to edge-a-1
not served, last try 'cut in the answer': 1; the first:
    2.500 s  request aa02 (note, a.example/b/) sent to edge-a-1
`

func TestCauseIsFoundForEachRequest(t *testing.T) {
	var out bytes.Buffer
	unexplained, err := writeReport(&out, []byte(output))
	assert.NilError(t, err)
	assert.Equal(t, unexplained, 0, out.String())
	assert.Assert(t, strings.Contains(out.String(), "no place in time"))
	assert.Assert(t, strings.Contains(out.String(), "entry killed after 2.000 s"))
}

func TestRequestsWithoutACauseAreCounted(t *testing.T) {
	for name, line := range map[string]string{
		"another entry":          "    2.500 s  request aa03 (note, a.example/b/) sent to edge-a-2\n",
		"long before the kill":   "   20.0000 edge-a-1 {\"time\":\"2026-01-01T00:00:30Z\",\"msg\":\"attempt failed\",\"instance\":\"edge-a-1\"}\n   21.0000 edge-a-1 {\"time\":\"2026-01-01T00:00:31Z\",\"msg\":\"started\",\"instance\":\"edge-a-1\"}\n    9.000 s  request aa03 (note, a.example/b/) sent to edge-a-1\n",
		"after the entry's kill": "    3.500 s  request aa03 (note, a.example/b/) sent to edge-a-1\n",
	} {
		unexplained, err := writeReport(&bytes.Buffer{}, []byte(output+line))
		assert.NilError(t, err)
		assert.Equal(t, unexplained, 1, name)
	}
}

func TestOutputWithoutLogsIsAnError(t *testing.T) {
	_, err := writeReport(&bytes.Buffer{}, []byte("nothing\n"))
	var none *NoLogsError
	assert.ErrorType(t, err, none)
}
