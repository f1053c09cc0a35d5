package telemetry

import (
	"io"

	"github.com/snipestep/snipestep/settings"
)

// Config configures the telemetry of a program.
type Config struct {
	// Program is the program's name, e.g. "snipestep-entry".
	Program string
	// Instance is the identifier of the instance in logs and spans.
	Instance string
	// LogOutput receives the log as JSON lines.
	LogOutput io.Writer
	Settings  settings.Telemetry
}
