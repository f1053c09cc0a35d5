package agent

import (
	"errors"
	"log/slog"

	"github.com/snipestep/snipestep/internal/connguard"
	"github.com/snipestep/snipestep/telemetry"
)

// logBrokenResponse logs a failure of the endpoint whose cause is a broken response; others it
// ignores. Nil logs nothing.
func logBrokenResponse(logger *slog.Logger, j *job, err error) {
	var broken *connguard.BrokenResponseError
	if errors.As(err, &broken) {
		telemetry.LoggerOrNoop(logger).Warn("endpoint sent a broken response", "attempt", j.req.GetAttempt(), "fault", string(broken.Kind), "error", err.Error())
	}
}
