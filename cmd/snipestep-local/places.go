package main

import (
	"os"

	"github.com/snipestep/snipestep/local/admissionsim"
)

type placesCommand struct {
	Seed  uint64 `default:"1" help:"Seed of the arrivals."`
	Bound int    `default:"5" help:"Requests that each entry of the baseline sends to one engine at most."`
}

// Run compares, in a simulation, the admission control of entries with a fixed limit
// of concurrent requests for each pair of entry and engine.
func (c *placesCommand) Run() error {
	return admissionsim.WriteTable(os.Stdout, c.Seed, c.Bound)
}
