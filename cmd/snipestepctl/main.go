package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/snipestep/snipestep/problem"
)

// explainName begins the command line of the command that needs no server.
const explainName = "explain"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run executes one command line and returns its exit code.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	var cli CLI
	exited := -1
	parser, err := newParser(&cli, kong.Writers(out, errOut), kong.Exit(func(code int) { exited = code }))
	if err != nil {
		report(errOut, err, false)
		return exitFailure
	}
	command, err := parser.Parse(args)
	if exited >= 0 {
		return exited
	}
	if err != nil {
		report(errOut, err, false)
		return exitUsage
	}
	settings, err := cli.settings()
	if strings.HasPrefix(command.Command(), explainName) {
		err = nil // It asks no server, so none need be known.
	}
	if err == nil {
		err = command.Run(newApp(ctx, settings, out))
	}
	report(errOut, err, settings.Output == outputJSON)
	return exitCode(err)
}

// report prints an error. With JSON output a refusal is printed as the
// problem document that the server sent.
func report(w io.Writer, err error, asJSON bool) {
	if err == nil {
		return
	}
	var refused *problem.Error
	if asJSON && errors.As(err, &refused) {
		_ = json.NewEncoder(w).Encode(refused.Problem)
		return
	}
	_, _ = fmt.Fprintf(w, "snipestepctl: %v\n", err)
}
