package slopes

import (
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 5 * vg.Inch
	plotHeight = 3 * vg.Inch
)

// WritePlots writes one SVG for each cost, plotted against the number of agents.
func (r *Result) WritePlots(dir string) error {
	for _, c := range costs {
		if err := r.writePlot(dir, c); err != nil {
			return eris.Wrapf(err, "plot %s", c.name)
		}
	}
	return nil
}

func (r *Result) writePlot(dir string, c cost) error {
	points := make(plotter.XYs, len(r.ByAgents))
	for i, p := range r.ByAgents {
		points[i] = plotter.XY{X: agentsOf(p), Y: c.value(p)}
	}
	line, dots, err := plotter.NewLinePoints(points)
	if err != nil {
		return err
	}
	page := plot.New()
	page.Title.Text = c.name
	page.X.Label.Text = "agents"
	page.Y.Label.Text = c.unit
	page.Y.Min = 0
	page.Add(plotter.NewGrid(), line, dots)
	name := "slope-" + strings.ReplaceAll(c.name, " ", "-") + ".svg"
	return page.Save(plotWidth, plotHeight, filepath.Join(dir, name))
}
