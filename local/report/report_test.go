package report_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/local/report"
)

func sampleReport() *report.Report {
	r := &report.Report{Weights: report.Weights{Replicas: 11, ReplicasDone: 10, TimeToAllS: 7.5}}
	r.Ranks.Of(core.RankNormal).Offered = 12
	r.Ranks.Of(core.RankUrgent).TTFTP95MS = 123.4
	r.Flood.OthersKeptRatio = 1
	return r
}

func TestJSONFields(t *testing.T) {
	var out bytes.Buffer
	assert.NilError(t, sampleReport().WriteJSON(report.StandardOutput, &out))
	golden.Assert(t, out.String(), "report.json")
	path := filepath.Join(t.TempDir(), "r.json")
	assert.NilError(t, sampleReport().WriteJSON(path, nil))
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.Equal(t, string(data), out.String())
}

func TestTable(t *testing.T) {
	var out bytes.Buffer
	assert.NilError(t, sampleReport().WriteTable(&out))
	golden.Assert(t, out.String(), "report.txt")
}
