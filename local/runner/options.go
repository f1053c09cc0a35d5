package runner

import (
	"io"
	"log/slog"

	"github.com/snipestep/snipestep/local/scenario"
)

// Options configures a run.
type Options struct {
	Scenario *scenario.Scenario
	// Progress receives one line for each step of the run.
	Progress io.Writer
	// Logger receives the logs of entries and agents.
	Logger *slog.Logger
	// Usage receives the resources that the process used; nil to measure none.
	Usage *Usage
}
