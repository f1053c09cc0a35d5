// Command complaints joins a day of the users' bench with the logs of that day:
// for each request that the day's report names as not served it says which
// cause the logs give. It reads the output of "fleetbench run SITE DAY --log
// all" and ends with status 1 if a request has no cause.
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
	without, err := report(os.Stdout, data)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if err != nil || without > 0 {
		os.Exit(1)
	}
}

// report writes a line for each complaint and returns how many have no cause.
func report(w io.Writer, data []byte) (without int, err error) {
	day, err := read(data)
	if err != nil {
		return 0, err
	}
	for _, c := range day.complaints {
		cause, ok, err := day.cause(c)
		if err != nil {
			return without, err
		}
		if !ok {
			without++
		}
		if _, err := fmt.Fprintf(w, "%s %-18s %s\n", c.request, c.entry, cause); err != nil {
			return without, err
		}
	}
	_, err = fmt.Fprintf(w, "%d requests, %d without a cause\n", len(day.complaints), without)
	return without, err
}
