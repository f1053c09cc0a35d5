package operator

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

const tablePadding = 2

// table writes aligned columns and records the first write error.
type table struct {
	w   *tabwriter.Writer
	err error
}

func newTable(w io.Writer) *table {
	return &table{w: tabwriter.NewWriter(w, 0, 0, tablePadding, ' ', 0)}
}

func (t *table) writeRow(cells ...string) {
	t.writeLine(strings.Join(cells, "\t"))
}

func (t *table) writeLine(text string) {
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
