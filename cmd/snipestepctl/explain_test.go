package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestExplainNeedsNoServer(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	line := `{"time":"2026-01-01T00:00:02Z","msg":"request ended","instance":"edge-1","request":"r1","outcome":"refused"}`
	assert.NilError(t, os.WriteFile(path, []byte(line+"\n"), 0o600))
	var out, errOut bytes.Buffer
	assert.Equal(t, run(t.Context(), []string{"explain", "r1", path}, &out, &errOut), 0, errOut.String())
	assert.Assert(t, strings.Contains(out.String(), "outcome=refused"))
	assert.Equal(t, run(t.Context(), []string{"explain", "r1", path + "x"}, &out, &errOut), exitUsage)
}
