package main

import (
	"context"
	"errors"
	"net/http"

	"github.com/snipestep/snipestep/operator"
	"github.com/snipestep/snipestep/problem"
)

// The exit codes of the program.
const (
	exitOK             = 0
	exitFailure        = 1
	exitUsage          = 2
	exitConflict       = 3
	exitUnreachable    = 4
	exitOutcomeUnknown = 5
	exitInterrupted    = 130
)

func exitCode(err error) int {
	var (
		serverProblem *problem.Error
		unknown       *operator.UnknownOutcomeError
		unreachable   *operator.UnreachableError
		settings      *SettingsError
		usage         *UsageError
	)
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &settings), errors.As(err, &usage):
		return exitUsage
	case errors.Is(err, context.Canceled):
		return exitInterrupted
	case errors.As(err, &serverProblem):
		return problemExitCode(serverProblem.Problem)
	case errors.As(err, &unknown):
		return exitOutcomeUnknown
	case errors.As(err, &unreachable):
		return exitUnreachable
	}
	return exitFailure
}

func problemExitCode(p problem.Problem) int {
	switch {
	case p.Code == operator.CodeCommitUnknown:
		return exitOutcomeUnknown
	case p.Status == http.StatusConflict:
		return exitConflict
	}
	return exitFailure
}
