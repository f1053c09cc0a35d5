package main

import (
	"context"
	"os"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/local/report"
	"github.com/snipestep/snipestep/local/slopes"
)

type slopesCommand struct {
	JSON  string `name:"json" placeholder:"FILE" default:"-" help:"Write points and lines as JSON to a file, or to standard output for -."`
	Plots string `type:"path" placeholder:"DIR" help:"Write a plot of each cost as SVG into a directory."`
}

// Run measures fleets of several sizes and writes how their costs grow.
func (c *slopesCommand) Run(ctx context.Context) error {
	result, err := slopes.Measure(ctx, slopes.Options{Progress: os.Stderr})
	if err != nil {
		return err
	}
	if c.Plots != "" {
		if err := os.MkdirAll(c.Plots, dirMode); err != nil {
			return eris.Wrap(err, "create plot directory")
		}
		if err := result.WritePlots(c.Plots); err != nil {
			return err
		}
	}
	return report.WriteJSON(c.JSON, result, os.Stdout)
}
