package doccheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

var (
	linkPattern     = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	codeCellPattern = regexp.MustCompile("(?m)^\\| `([^`]+)` \\|")
)

// Pages returns the paths of the Markdown pages under root.
func Pages(root string) ([]string, error) {
	var pages []string
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && strings.HasPrefix(entry.Name(), ".") && path != root {
			return fs.SkipDir
		}
		if strings.HasSuffix(path, ".md") {
			pages = append(pages, path)
		}
		return nil
	})
	return pages, eris.Wrap(err, "list pages")
}

// BrokenLinks returns the relative links of a page whose target does not exist.
func BrokenLinks(page string) ([]string, error) {
	text, err := os.ReadFile(page)
	if err != nil {
		return nil, eris.Wrap(err, "read the page")
	}
	var broken []string
	for _, match := range linkPattern.FindAllStringSubmatch(string(text), -1) {
		target, _, _ := strings.Cut(match[1], "#")
		if target == "" || strings.Contains(target, "://") {
			continue
		}
		if _, err := os.Stat(filepath.Join(filepath.Dir(page), target)); err != nil {
			broken = append(broken, match[1])
		}
	}
	return broken, nil
}

// Section returns the text between a heading and the next heading of any level,
// or "" if the page has no such heading.
func Section(text, heading string) string {
	_, rest, found := strings.Cut(text, "\n"+heading+"\n")
	if !found {
		return ""
	}
	body, _, _ := strings.Cut(rest, "\n#")
	return body
}

// CodeCells returns the first cell of each table row whose first cell is formatted
// as code.
func CodeCells(section string) []string {
	var cells []string
	for _, match := range codeCellPattern.FindAllStringSubmatch(section, -1) {
		cells = append(cells, match[1])
	}
	return cells
}

// CodeConstants returns the values of the string constants of a Go file whose
// names begin with Code.
func CodeConstants(path string) ([]string, error) {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		return nil, eris.Wrap(err, "parse the codes")
	}
	var codes []string
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || !strings.HasPrefix(spec.Names[0].Name, "Code") || len(spec.Values) == 0 {
			return true
		}
		if value, ok := spec.Values[0].(*ast.BasicLit); ok {
			if code, err := strconv.Unquote(value.Value); err == nil {
				codes = append(codes, code)
			}
		}
		return false
	})
	return codes, nil
}
