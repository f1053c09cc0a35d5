// Command complaints explains the failed requests of a day of the users' bench from
// the logs of that day: for each request that the day's report names as not served,
// it prints the cause that the logs give. It reads the output of "fleetbench run
// SITE DAY --log all" and exits with status 1 if a request has no cause.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
)

type flags struct {
	Output string `arg:"" type:"existingfile" help:"Output of a day that was run with --log all."`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Name("complaints"), kong.Description("Finds the cause of each request that a day names as not served."))
	data, err := os.ReadFile(f.Output)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	unexplained, err := writeReport(os.Stdout, data)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if err != nil || unexplained > 0 {
		os.Exit(1)
	}
}

// writeReport writes a line for each unserved request and returns how many have no
// cause.
func writeReport(w io.Writer, data []byte) (unexplained int, err error) {
	run, err := parseOutput(data)
	if err != nil {
		return 0, err
	}
	for _, request := range run.unserved {
		cause, ok, err := run.findCause(request)
		if err != nil {
			return unexplained, err
		}
		if !ok {
			unexplained++
		}
		if _, err := fmt.Fprintf(w, "%s %-18s %s\n", request.id, request.entry, cause); err != nil {
			return unexplained, err
		}
	}
	_, err = fmt.Fprintf(w, "%d requests, %d without a cause\n", len(run.unserved), unexplained)
	return unexplained, err
}
