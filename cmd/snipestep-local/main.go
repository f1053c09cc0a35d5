package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// Exit statuses.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

type commands struct {
	Run    runCommand    `cmd:"" default:"withargs" help:"Run a scenario and print its report."`
	Slopes slopesCommand `cmd:"" help:"Measure how costs grow with the fleet; takes a few minutes."`
	Places placesCommand `cmd:"" help:"Compare in a model how entries share the places of engines; takes a second."`
	Fakes  fakesCommand  `cmd:"" help:"Serve the stand-ins to programs that run as processes of their own."`
}

func main() {
	var c commands
	parser := kong.Must(&c,
		kong.Name("snipestep-local"),
		kong.Description("Runs a whole snipestep fleet in one process over loopback."))
	parsed, err := parser.Parse(os.Args[1:])
	if err != nil {
		parser.Errorf("%s", err)
		os.Exit(exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	parsed.BindTo(ctx, (*context.Context)(nil))
	err = parsed.Run()
	stop()
	os.Exit(exitStatus(parser, err))
}
