package main

import (
	"context"
	"os"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/local/fakeservices"
)

const dirMode = 0o755

type fakesCommand struct {
	Dir     string `arg:"" type:"path" help:"Directory that receives the settings files of the programs."`
	Entries int    `default:"2" help:"Number of entries."`
	Models  int    `default:"3" help:"Number of model engines."`
	Plains  int    `default:"1" help:"Number of plain services."`
	Network int    `default:"1" help:"Second byte of all addresses, which are 127.NETWORK.0.x."`
}

// Run serves the fakes until ctx ends.
func (c *fakesCommand) Run(ctx context.Context) error {
	if err := os.MkdirAll(c.Dir, dirMode); err != nil {
		return eris.Wrap(err, "create settings directory")
	}
	return fakeservices.Serve(ctx, fakeservices.Options{
		Dir:      c.Dir,
		Entries:  c.Entries,
		Models:   c.Models,
		Plains:   c.Plains,
		Network:  c.Network,
		Progress: os.Stdout,
	})
}
