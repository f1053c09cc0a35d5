package doccheck

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipestep/snipestep/telemetry"
)

const (
	root           = "../.."
	operationsPage = root + "/docs/OPERATIONS.md"
)

func readFile(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	assert.NilError(t, err)
	return string(text)
}

func TestEveryRelativeLinkResolves(t *testing.T) {
	pages, err := Pages(root)
	assert.NilError(t, err)
	assert.Assert(t, len(pages) > 3)
	for _, page := range pages {
		broken, err := BrokenLinks(page)
		assert.NilError(t, err)
		assert.Equal(t, len(broken), 0, "%s: %v", page, broken)
	}
}

func TestBrokenLinksAreFound(t *testing.T) {
	page := filepath.Join(t.TempDir(), "page.md")
	text := "[a](page.md#x) [b](https://example.org) [c](#here) [d](missing.md)"
	assert.NilError(t, os.WriteFile(page, []byte(text), 0o600))
	broken, err := BrokenLinks(page)
	assert.NilError(t, err)
	assert.DeepEqual(t, broken, []string{"missing.md"})
}

func TestOperationsExplainsEveryCode(t *testing.T) {
	text := readFile(t, operationsPage)
	for heading, file := range map[string]string{
		"### Codes that callers get":        "entry/codes.go",
		"### Codes between entry and agent": "agent/codes.go",
		"### Codes that operators get":      "operator/codes.go",
	} {
		want, err := CodeConstants(filepath.Join(root, file))
		assert.NilError(t, err)
		assert.Assert(t, len(want) > 0, file)
		slices.Sort(want)
		got := CodeCells(Section(text, heading))
		slices.Sort(got)
		assert.DeepEqual(t, got, want)
	}
}

func TestOperationsNamesOnlyExistingMetrics(t *testing.T) {
	known := map[string]bool{}
	for _, m := range telemetry.Metrics {
		known["snipestep_"+m.Name] = true
	}
	named := regexp.MustCompile(`snipestep_[a-z_]+`).FindAllString(readFile(t, operationsPage), -1)
	assert.Assert(t, len(named) > 0)
	for _, name := range named {
		assert.Assert(t, known[name], "metric %s does not exist", name)
	}
}

// TestDocumentedSessionsMatchGoldenFiles checks that every console block of the
// page is part of a golden file of snipestepctl.
func TestDocumentedSessionsMatchGoldenFiles(t *testing.T) {
	goldens, err := filepath.Glob(root + "/cmd/snipestepctl/testdata/*.golden")
	assert.NilError(t, err)
	var sessions strings.Builder
	for _, path := range goldens {
		sessions.WriteString(readFile(t, path))
	}
	documented := regexp.MustCompile("(?s)```console\n(.*?)```").FindAllStringSubmatch(readFile(t, operationsPage), -1)
	assert.Assert(t, len(documented) > 5)
	for _, block := range documented {
		assert.Assert(t, strings.Contains(sessions.String(), block[1]), "not in any golden file:\n%s", block[1])
	}
}
