package main

import (
	"context"
	"io"
	"log/slog"
	"os"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/local/report"
	"github.com/snipestep/snipestep/local/runner"
	"github.com/snipestep/snipestep/local/scenario"
)

type runCommand struct {
	Scenario string `type:"existingfile" help:"INI file with the scenario; without it every key has its default."`
	JSON     string `name:"json" placeholder:"FILE" help:"Write the report as JSON to a file, or to standard output for -."`
	Weights  string `type:"existingdir" help:"Directory whose files are pushed, in place of made weights."`
	Log      string `type:"path" help:"Write the JSON logs of entries and agents to a file."`
}

// Run runs the scenario and prints the report.
func (c *runCommand) Run(ctx context.Context) error {
	s, err := c.loadScenario()
	if err != nil {
		return err
	}
	logs, err := c.openLog()
	if err != nil {
		return err
	}
	defer logs.Close()
	result, err := runner.Run(ctx, runner.Options{
		Scenario: s,
		Progress: os.Stderr,
		Logger:   slog.New(slog.NewJSONHandler(logs, nil)),
	})
	if err != nil {
		return err
	}
	return c.writeReport(result)
}

func (c *runCommand) loadScenario() (*scenario.Scenario, error) {
	s, err := scenario.Default()
	if c.Scenario != "" {
		s, err = scenario.LoadFile(c.Scenario)
	}
	if err != nil {
		return nil, err
	}
	if c.Weights != "" {
		s.Weights.Dir = c.Weights
	}
	return s, nil
}

type discardLog struct{ io.Writer }

// Close implements io.Closer.
func (discardLog) Close() error {
	return nil
}

func (c *runCommand) openLog() (io.WriteCloser, error) {
	if c.Log == "" {
		return discardLog{io.Discard}, nil
	}
	file, err := os.Create(c.Log)
	return file, eris.Wrap(err, "create log file")
}

// writeReport writes the report as JSON if requested, and as a table unless the JSON
// goes to standard output.
func (c *runCommand) writeReport(result *report.Report) error {
	if c.JSON != report.StandardOutput {
		if err := result.WriteTable(os.Stdout); err != nil {
			return err
		}
	}
	if c.JSON == "" {
		return nil
	}
	return result.WriteJSON(c.JSON, os.Stdout)
}
