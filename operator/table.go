package operator

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

const tablePadding = 2

// table writes aligned columns and keeps the first error.
type table struct {
	w   *tabwriter.Writer
	err error
}

func newTable(w io.Writer) *table {
	return &table{w: tabwriter.NewWriter(w, 0, 0, tablePadding, ' ', 0)}
}

func (t *table) row(cells ...string) {
	t.line(strings.Join(cells, "\t"))
}

func (t *table) line(text string) {
	if _, err := fmt.Fprintln(t.w, text); err != nil && t.err == nil {
		t.err = err
	}
}

func (t *table) flush() error {
	if err := t.w.Flush(); err != nil && t.err == nil {
		t.err = err
	}
	return t.err
}
