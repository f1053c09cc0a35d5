package admissionsim

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteTable runs every pattern with the policy and with the baseline and writes
// the shares on time and served, by kind. Its error is that of w.
func WriteTable(w io.Writer, seed uint64, limit int) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	rows := []string{"pattern\tkind\tasked\ton time\tserved\tbaseline on time\tbaseline served\n"}
	for _, p := range Patterns() {
		policyResults, baselineResults := RunPolicy(p, seed), RunBaseline(p, seed, limit)
		for i, kind := range p.Kinds {
			rows = append(rows, fmt.Sprintf("%s\t%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\n", p.Name, kind.Name, policyResults[i].Submitted,
				policyResults[i].OnTimeShare(), policyResults[i].ServedShare(), baselineResults[i].OnTimeShare(), baselineResults[i].ServedShare()))
		}
	}
	for _, row := range rows {
		if _, err := io.WriteString(table, row); err != nil {
			return err
		}
	}
	return table.Flush()
}
