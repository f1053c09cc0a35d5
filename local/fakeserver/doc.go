// Package fakeserver serves the stand-ins of the platform and of the endpoints
// for entries and agents that run as separate processes on one machine, and
// writes the settings with which these programs find them.
package fakeserver
