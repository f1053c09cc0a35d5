package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/snipestep/snipestep/problem"
)

// serverlessCommands are the commands that need no server.
var serverlessCommands = []string{"explain", "check"}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run executes one command line and returns its exit code.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	var cli CLI
	parserExitCode := -1
	parser, err := newParser(&cli, kong.Writers(out, errOut), kong.Exit(func(code int) { parserExitCode = code }))
	if err != nil {
		printError(errOut, err, false)
		return exitFailure
	}
	command, err := parser.Parse(args)
	if parserExitCode >= 0 {
		return parserExitCode
	}
	if err != nil {
		printError(errOut, err, false)
		return exitUsage
	}
	settings, err := cli.settings()
	if name, _, _ := strings.Cut(command.Command(), " "); slices.Contains(serverlessCommands, name) {
		err = nil // It calls no server, so the client settings may be missing.
	}
	if err == nil {
		err = command.Run(newApp(ctx, settings, out))
	}
	printError(errOut, err, settings.Output == outputJSON)
	return exitCode(err)
}

// printError prints an error. With JSON output an error response is printed as the
// problem document that the server sent.
func printError(w io.Writer, err error, asJSON bool) {
	if err == nil {
		return
	}
	var serverProblem *problem.Error
	if asJSON && errors.As(err, &serverProblem) {
		_ = json.NewEncoder(w).Encode(serverProblem.Problem)
		return
	}
	_, _ = fmt.Fprintf(w, "snipestepctl: %v\n", err)
}
