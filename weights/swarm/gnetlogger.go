package swarm

import (
	"fmt"
	"log/slog"
)

// gnetLogger forwards gnet's log lines to slog.
type gnetLogger struct {
	logger *slog.Logger
}

// Debugf implements logging.Logger.
func (l *gnetLogger) Debugf(format string, args ...any) {
	l.logger.Debug(fmt.Sprintf(format, args...))
}

// Infof implements logging.Logger.
func (l *gnetLogger) Infof(format string, args ...any) {
	l.logger.Debug(fmt.Sprintf(format, args...))
}

// Warnf implements logging.Logger.
func (l *gnetLogger) Warnf(format string, args ...any) {
	l.logger.Warn(fmt.Sprintf(format, args...))
}

// Errorf implements logging.Logger.
func (l *gnetLogger) Errorf(format string, args ...any) {
	l.logger.Error(fmt.Sprintf(format, args...))
}

// Fatalf implements logging.Logger.
func (l *gnetLogger) Fatalf(format string, args ...any) {
	l.logger.Error(fmt.Sprintf(format, args...))
}
