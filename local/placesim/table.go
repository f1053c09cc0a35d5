package placesim

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteTable runs every pattern with the policy and with the baseline and
// prints the shares on time and served, by kind. It returns the writer's error.
func WriteTable(w io.Writer, seed uint64, bound int) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	rows := []string{"pattern\tkind\tasked\ton time\tserved\tbaseline on time\tbaseline served\n"}
	for _, p := range Patterns() {
		got, base := RunPolicy(p, seed), RunBaseline(p, seed, bound)
		for i, kind := range p.Kinds {
			rows = append(rows, fmt.Sprintf("%s\t%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\n", p.Name, kind.Name, got[i].Asked,
				got[i].OnTimeShare(), got[i].ServedShare(), base[i].OnTimeShare(), base[i].ServedShare()))
		}
	}
	for _, row := range rows {
		if _, err := io.WriteString(table, row); err != nil {
			return err
		}
	}
	return table.Flush()
}
