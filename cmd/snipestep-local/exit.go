package main

import (
	"errors"

	"github.com/alecthomas/kong"

	"github.com/snipestep/snipestep/settings"
)

// exitStatus prints err, if any, and returns the exit status.
func exitStatus(parser *kong.Kong, err error) int {
	if err == nil {
		return exitOK
	}
	parser.Errorf("%s", err)
	var invalid *settings.Error
	if errors.As(err, &invalid) {
		return exitUsage
	}
	return exitFailure
}
