package telemetry

import (
	"fmt"
	"log/slog"
)

// LogLevelError reports a log level that does not exist.
type LogLevelError struct {
	Level string
}

// Error implements error.
func (e *LogLevelError) Error() string {
	return fmt.Sprintf("log level %q does not exist", e.Level)
}

// newLogger returns a logger that writes JSON lines.
func newLogger(config Config) (*slog.Logger, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(config.Settings.LogLevel)); err != nil {
		return nil, &LogLevelError{Level: config.Settings.LogLevel}
	}
	handler := slog.NewJSONHandler(config.LogOutput, &slog.HandlerOptions{Level: level})
	logger := slog.New(handler)
	return logger.With("program", config.Program, "instance", config.Instance), nil
}
