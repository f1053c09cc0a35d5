package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/local/fakeserver"
)

type fakesCommand struct {
	Dir     string        `arg:"" type:"path" help:"Directory for the settings of the programs; made if it is missing."`
	Weights string        `type:"existingdir" help:"Directory whose files are version v1, in place of made weights."`
	Entries int           `default:"2" help:"Number of entries."`
	Models  int           `default:"3" help:"Number of model engines."`
	Plains  int           `default:"1" help:"Number of plain services."`
	Slots   int           `default:"8" help:"Calls that an endpoint runs at once."`
	Token   time.Duration `default:"20ms" help:"Time between two tokens of an engine."`
	Load    time.Duration `default:"200ms" help:"Time that an engine takes to load a model."`
}

// Run serves the stand-ins until the program is told to end.
func (c *fakesCommand) Run(ctx context.Context) error {
	if err := os.MkdirAll(c.Dir, 0o750); err != nil {
		return eris.Wrap(err, "make the directory")
	}
	server, err := fakeserver.Start(ctx, fakeserver.Config{
		Dir:        c.Dir,
		WeightsDir: c.Weights,
		Entries:    c.Entries,
		Models:     c.Models,
		Plains:     c.Plains,
		Slots:      c.Slots,
		Token:      c.Token,
		Load:       c.Load,
	})
	if err != nil {
		return err
	}
	for _, p := range server.Processes {
		fmt.Println(p.Settings, p.MetricsAddr, p.HTTPAddr)
	}
	fmt.Println("ready")
	<-ctx.Done()
	return server.Close()
}
