package main

import (
	"errors"

	"github.com/alecthomas/kong"

	"github.com/snipestep/snipestep/settings"
)

// exitStatus prints an error and returns the exit status.
func exitStatus(parser *kong.Kong, err error) int {
	if err == nil {
		return exitOK
	}
	parser.Errorf("%s", err)
	var bad *settings.Error
	if errors.As(err, &bad) {
		return exitUsage
	}
	return exitFailed
}
