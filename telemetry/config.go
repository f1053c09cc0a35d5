package telemetry

import (
	"io"

	"github.com/snipestep/snipestep/settings"
)

// Config says what a program reports and where.
type Config struct {
	// Program is the program's name, e.g. "snipestep-entry".
	Program string
	// Instance is the identifier that logs and spans carry.
	Instance string
	// LogOutput receives the JSON lines.
	LogOutput io.Writer
	Settings  settings.Telemetry
}
