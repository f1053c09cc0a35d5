// Package runner runs a scenario: it starts the stand-ins, entries and agents
// of a whole fleet in one process over loopback, drives load and faults, and
// collects the report. Linux's loopback network gives each instance an IP
// number of its own.
package runner
