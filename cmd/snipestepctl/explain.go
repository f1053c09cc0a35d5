package main

import (
	"fmt"
	"io"
	"os"

	"github.com/snipestep/snipestep/requesttimeline"
)

// explainCommand needs no server because it only reads log files.
type explainCommand struct {
	Request string   `arg:"" help:"Id of the request."`
	Files   []string `arg:"" optional:"" type:"existingfile" help:"Log files of all processes; standard input if none is given."`
}

// Run prints the timeline of the request.
func (c *explainCommand) Run(a *app) error {
	readers := []io.Reader{os.Stdin}
	if len(c.Files) > 0 {
		readers = nil
	}
	for _, name := range c.Files {
		file, err := os.Open(name)
		if err != nil {
			return fmt.Errorf("log file: %w", err)
		}
		defer func() { _ = file.Close() }()
		readers = append(readers, file)
	}
	timeline, err := requesttimeline.ReadTimeline(c.Request, readers...)
	if err != nil {
		return err
	}
	if a.json {
		return a.printJSON(timeline)
	}
	return timeline.Write(a.out)
}
